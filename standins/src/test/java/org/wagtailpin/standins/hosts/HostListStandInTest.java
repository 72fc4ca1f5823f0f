package org.wagtailpin.standins.hosts;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.hostlist.Host;
import org.wagtailpin.hostlist.HostListResult;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.hostlist.HttpHostList;

class HostListStandInTest {

  private static final long LAG_MILLIS = 1000;
  private static final long TEST_TIMEOUT_SECONDS = 30;

  private final ManualClock clock = new ManualClock(0);

  private HostListStandIn standIn() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    HostListStandIn standIn = new HostListStandIn(any, clock, LAG_MILLIS);
    standIn.start();
    return standIn;
  }

  private static HostListResult read(HttpHostList list) {
    return list.list().orTimeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  @Test
  void changeIsSeenAfterLagOnly() throws Exception {
    try (HostListStandIn standIn = standIn();
        AsyncHttpClient client = Dsl.asyncHttpClient()) {
      HttpHostList list = new HttpHostList(client, standIn.address());
      Host live = new Host("h1", "10.0.0.1", HostState.LIVE);
      standIn.put(live);
      assertThat(read(list)).isEqualTo(new HostListResult.Listed(List.of()));
      clock.advance(LAG_MILLIS);
      assertThat(read(list)).isEqualTo(new HostListResult.Listed(List.of(live)));
      Host leaving = new Host("h1", "10.0.0.1", HostState.LEAVING);
      standIn.put(leaving);
      clock.advance(LAG_MILLIS - 1);
      assertThat(read(list)).isEqualTo(new HostListResult.Listed(List.of(live)));
      standIn.setLagMillis(0);
      assertThat(read(list)).isEqualTo(new HostListResult.Listed(List.of(leaving)));
    }
  }

  @Test
  void hostIsSetOverHttp() throws Exception {
    try (HostListStandIn standIn = standIn();
        AsyncHttpClient client = Dsl.asyncHttpClient()) {
      String host = "{\"name\":\"h2\",\"address\":\"10.0.0.2\",\"state\":\"gone\"}";
      int status =
          client
              .preparePut(standIn.address() + "/hosts")
              .setBody(host)
              .execute()
              .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)
              .getStatusCode();
      assertThat(status).isEqualTo(200);
      clock.advance(LAG_MILLIS);
      assertThat(read(new HttpHostList(client, standIn.address())))
          .isEqualTo(
              new HostListResult.Listed(List.of(new Host("h2", "10.0.0.2", HostState.GONE))));
    }
  }

  @Test
  void malformedChangeIsRefused() throws Exception {
    try (HostListStandIn standIn = standIn();
        AsyncHttpClient client = Dsl.asyncHttpClient()) {
      int status =
          client
              .preparePut(standIn.address() + "/hosts")
              .setBody("{\"name\":\"h2\"}")
              .execute()
              .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)
              .getStatusCode();
      assertThat(status).isEqualTo(400);
    }
  }

  @Test
  void closedListFails() throws Exception {
    try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
      HostListStandIn standIn = standIn();
      HttpHostList list = new HttpHostList(client, standIn.address());
      standIn.close();
      assertThat(read(list)).isInstanceOf(HostListResult.Failed.class);
    }
  }
}
