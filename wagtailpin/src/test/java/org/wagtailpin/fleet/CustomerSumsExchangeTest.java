package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.entrypeer.PeerHandler;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.CustomerSums;
import org.wagtailpin.entrypeer.generated.DomainBeat;
import org.wagtailpin.entrypeer.generated.DomainBeatAck;
import org.wagtailpin.entrypeer.generated.LevelSums;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.limits.CustomerExcess;
import org.wagtailpin.limits.CustomerWork;
import org.wagtailpin.membership.Member;

class CustomerSumsExchangeTest {

  private static final long SETTLE_MILLIS = 15_000;
  private static final long TWO_BEATS_MILLIS = 1_000;
  private static final long SUMS_TOO_OLD_MILLIS = 2_001;
  private static final double CALL_MILLIS = 100;
  private static final int CALLS = 200;

  /** Records the beats and the answers to them that carry sums, and counts all. */
  private static final class Recorder {
    private int beats;
    private int answers;
    private final List<String> withSums = new ArrayList<>();

    PeerMessenger wrap(PeerMessenger base) {
      return new PeerMessenger() {
        @Override
        public String self() {
          return base.self();
        }

        @Override
        public CompletableFuture<PeerReply> request(
            String entry, PeerFrame.Builder frame, long timeoutMillis) {
          if (frame.hasDomainBeat()) {
            beats++;
            if (frame.getDomainBeat().hasCustomerSums()) {
              withSums.add(self() + " to " + entry);
            }
          }
          return base.request(entry, frame, timeoutMillis);
        }

        @Override
        public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
          base.setHandler(body, request -> handler.handle(request).thenApply(this::recorded));
        }

        private PeerFrame.Builder recorded(PeerFrame.Builder answer) {
          if (answer.hasDomainBeatAck()) {
            answers++;
            if (answer.getDomainBeatAck().hasCustomerSums()) {
              withSums.add("answer of " + self());
            }
          }
          return answer;
        }
      };
    }
  }

  private final Recorder recorder = new Recorder();
  private final SimulatedDomains fleet = new SimulatedDomains(1, recorder::wrap);

  private void start() {
    fleet.start(2, 4);
    fleet.changeDocument();
    fleet.advance(SETTLE_MILLIS);
  }

  private SimulatedMember watcher() {
    List<SimulatedMember> watchers = fleet.watchers("d1");
    assertThat(watchers).hasSize(1);
    return watchers.get(0);
  }

  private List<SimulatedMember> followers() {
    return fleet.members().stream()
        .filter(member -> member.domain().equals("d1") && member.running() && !member.watching())
        .toList();
  }

  private static CustomerWork call(String customer) {
    return new CustomerWork("work", 0, customer, 1, CALL_MILLIS);
  }

  private static void overload(SimulatedMember member, String customer) {
    for (int i = 0; i < CALLS; i++) {
      if (i % 4 == 0) {
        // Less than an even share, so that it must not be limited.
        member.customerAdmission().granted(call("small"), false);
      }
      member.customerAdmission().refused(call(customer), true);
      member.customerAdmission().granted(call(customer), false);
    }
  }

  /** Returns whether an entry refuses a customer's calls by the sums of the domain. */
  private static boolean limits(SimulatedMember member, String customer) {
    CustomerAdmission admission = member.customerAdmission();
    for (int i = 0; i < CALLS; i++) {
      if (admission.tryTake(call(customer)).filter(CustomerExcess::domainSums).isPresent()) {
        return true;
      }
    }
    return false;
  }

  /** Guards against messages that grow in fleets that do not share capacity between customers. */
  @Test
  void noSumsAreSentWithoutRefusedWorkOfCustomers() {
    start();
    for (SimulatedMember member : fleet.members()) {
      for (int i = 0; i < CALLS; i++) {
        member.customerAdmission().granted(call("flood"), false);
      }
    }
    fleet.advance(TWO_BEATS_MILLIS);

    assertThat(recorder.beats).isGreaterThan(0);
    assertThat(recorder.answers).isGreaterThan(0);
    assertThat(recorder.withSums).isEmpty();
  }

  /** Guards against sums of followers or of the watcher itself that others never learn. */
  @Test
  void sumsOfFollowersAndOfTheWatcherReachAllEntriesOfTheirDomainOnly() {
    start();
    overload(watcher(), "surge");
    overload(followers().get(0), "flood");
    fleet.advance(TWO_BEATS_MILLIS);

    for (SimulatedMember member : fleet.members()) {
      boolean own = member.domain().equals("d1");
      assertWithMessage(member.id()).that(limits(member, "flood")).isEqualTo(own);
      assertWithMessage(member.id()).that(limits(member, "surge")).isEqualTo(own);
      assertWithMessage(member.id()).that(limits(member, "small")).isFalse();
    }
  }

  /** Guards against shares by the work that a watcher saw before it was lost. */
  @Test
  void sumsOfALostWatcherAreNotUsedAndThoseOfTheNextOneAre() {
    start();
    SimulatedMember lost = watcher();
    SimulatedMember flooded = followers().get(0);
    SimulatedMember idle = followers().get(1);
    overload(lost, "surge");
    fleet.advance(TWO_BEATS_MILLIS);
    assertThat(limits(idle, "surge")).isTrue();

    lost.kill();
    fleet.advance(SUMS_TOO_OLD_MILLIS);
    assertThat(limits(idle, "surge")).isFalse();
    fleet.advance(SETTLE_MILLIS);
    overload(flooded, "flood");
    fleet.advance(TWO_BEATS_MILLIS);
    assertThat(limits(idle, "flood")).isTrue();
    assertThat(limits(idle, "surge")).isFalse();
  }

  /** Guards against old sums in an entry that finds no other watcher. */
  @Test
  void sumsOfAWatcherThatIsOutOfReachAreNotUsedWhenTheyAreOld() {
    start();
    SimulatedMember cutOff = followers().get(0);
    overload(watcher(), "surge");
    fleet.advance(TWO_BEATS_MILLIS);
    assertThat(limits(cutOff, "surge")).isTrue();

    cutOff.cutFromPeers();
    fleet.advance(SUMS_TOO_OLD_MILLIS);
    assertThat(limits(cutOff, "surge")).isFalse();
  }

  /** Guards against sums of a former watcher, of a delayed answer or of another domain. */
  @Test
  void onlyTheLatestAnswerOfTheFollowedWatcherAndReportsOfTheOwnDomainAreUsed() {
    CustomerAdmission admission = new CustomerAdmission(new ManualClock(SETTLE_MILLIS));
    FollowedWatcher followed = new FollowedWatcher(FleetTiming.within(2_000, 2, true), 0);
    followed.follow("watcher", 0);
    AtomicBoolean watching = new AtomicBoolean();
    CustomerSumsExchange exchange =
        new CustomerSumsExchange(entry("self", "d0"), followed, watching::get, admission.sums());
    CustomerSums sums =
        CustomerSums.newBuilder()
            .addLevels(LevelSums.newBuilder().setService("work").setRefusedCentislots(100))
            .build();
    DomainBeatAck ack = DomainBeatAck.newBuilder().setCustomerSums(sums).build();
    DomainBeatAck withoutSums = DomainBeatAck.getDefaultInstance();

    exchange.receive("former", ack, SETTLE_MILLIS);
    assertThat(admission.sumsAgeMillis()).isEmpty();
    exchange.receive("watcher", ack, SETTLE_MILLIS);
    exchange.receive("watcher", withoutSums, SETTLE_MILLIS - 1);
    assertThat(admission.sumsAgeMillis()).isPresent();
    exchange.receive("watcher", withoutSums, SETTLE_MILLIS);
    assertThat(admission.sumsAgeMillis()).isEmpty();

    watching.set(true);
    exchange.receive("watcher", ack, SETTLE_MILLIS);
    assertThat(admission.sumsAgeMillis()).isEmpty();
    DomainBeat beat = DomainBeat.newBuilder().setCustomerSums(sums).build();
    DomainBeatAck.Builder answer = DomainBeatAck.newBuilder();
    exchange.answer("other", entry("other", "d1"), beat, answer);
    exchange.answer("self", entry("self", "d0"), beat, answer);
    exchange.answer("other", entry("unlike", "d0"), beat, answer);
    assertThat(answer.hasCustomerSums()).isFalse();
    exchange.answer("other", entry("other", "d0"), beat, answer);
    assertThat(answer.getCustomerSums()).isEqualTo(sums);
  }

  private static Member entry(String id, String domain) {
    return new Member(id, 1, "10.0.0.1", 7_000, "r", domain, false);
  }
}
