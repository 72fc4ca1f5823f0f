package org.wagtailpin.examples;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.memory.MemoryStore;

class ExamplesTest {

  @Test
  void twoCountersOverOneStoreCountTogether() {
    ManualClock clock = new ManualClock(0);
    MemoryStore store = new MemoryStore(clock, new ManualControlLoop(clock));

    assertThat(new StoreCounter(store).increment().join().orElseThrow()).isEqualTo(1);
    assertThat(new StoreCounter(store).increment().join().orElseThrow()).isEqualTo(2);
  }

  @Test
  void replicasAgreeWhateverTheOrder() {
    assertThat(ConfigMergeExample.replicasAgree()).isTrue();
  }

  // Guards against an example that shows the flood at the expense of the other customer.
  @Test
  void aFloodOfOneCustomerGetsWhatTheOtherLeaves() {
    Map<String, CustomerFloodExample.Served> served =
        new CustomerFloodExample().play(Map.of("bakery", 40, "fair", 180));

    assertThat(served.get("bakery").share()).isAtLeast(0.95);
    // The slots serve 700 requests in the 6 s and the 1 s until the last deadline.
    assertThat(served.get("fair").share()).isAtMost((700.0 - 240) / 1_080);
  }
}
