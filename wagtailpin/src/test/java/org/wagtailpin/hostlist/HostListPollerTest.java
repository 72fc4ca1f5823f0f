package org.wagtailpin.hostlist;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

class HostListPollerTest {

  private static final HostListSettings SETTINGS = new HostListSettings(1000, 8000, 60_000);
  private static final HostListResult FAILED =
      new HostListResult.Failed(new Fault(Step.LIST_HOSTS, Peer.HOST_LIST, "", "down"));

  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private HostListResult answer = FAILED;
  private int reads;
  private final HostListPoller poller =
      new HostListPoller(
          this::read, loop, clock, RandomSource.XO_RO_SHI_RO_128_PP.create(3), SETTINGS);

  private CompletableFuture<HostListResult> read() {
    reads++;
    return CompletableFuture.completedFuture(answer);
  }

  private static HostListResult listed(HostState... states) {
    List<Host> hosts =
        IntStream.range(0, states.length)
            .mapToObj(i -> new Host("h" + i, "10.0.0." + i, states[i]))
            .toList();
    return new HostListResult.Listed(hosts);
  }

  @Test
  void hostThatWasNeverListedIsUnknown() {
    answer = listed(HostState.LIVE);
    poller.start();
    loop.advance(2000);
    assertThat(poller.stateOf("10.9.9.9")).isEqualTo(HostState.UNKNOWN);
    assertThat(poller.isLeaving("10.9.9.9")).isFalse();
  }

  @Test
  void leavingHostIsReported() {
    answer = listed(HostState.LIVE, HostState.LEAVING);
    poller.start();
    loop.advance(2000);
    assertThat(poller.isLeaving("10.0.0.0")).isFalse();
    assertThat(poller.isLeaving("10.0.0.1")).isTrue();
  }

  @Test
  void hostThatIsAbsentForLongIsGone() {
    answer = listed(HostState.LIVE, HostState.LIVE);
    poller.start();
    loop.advance(2000);
    answer = listed(HostState.LIVE);
    loop.advance(50_000);
    assertThat(poller.stateOf("10.0.0.1")).isEqualTo(HostState.LIVE);
    loop.advance(15_000);
    assertThat(poller.stateOf("10.0.0.1")).isEqualTo(HostState.GONE);
  }

  @Test
  void failedAndEmptyReadsChangeNothing() {
    answer = listed(HostState.LIVE);
    poller.start();
    loop.advance(2000);
    answer = FAILED;
    loop.advance(100_000);
    answer = listed();
    loop.advance(100_000);
    assertThat(poller.stateOf("10.0.0.0")).isEqualTo(HostState.LIVE);
  }

  @Test
  void failedReadsBackOff() {
    poller.start();
    loop.advance(160_000);
    assertThat(reads).isLessThan(40);
    answer = listed(HostState.LIVE);
    loop.advance(10_000);
    assertThat(poller.latestHosts()).hasSize(1);
  }
}
