package org.wagtailpin.examples;

import static com.google.common.truth.Truth.assertThat;

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
}
