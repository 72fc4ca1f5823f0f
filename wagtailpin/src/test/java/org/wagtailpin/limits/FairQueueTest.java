package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FairQueueTest {

  private record Item(String callerGroup) implements QueuedWork {

    @Override
    public double weight() {
      return 1;
    }

    @Override
    public int depth() {
      return 0;
    }

    @Override
    public int priority() {
      return 0;
    }

    @Override
    public boolean mayWait() {
      return false;
    }

    @Override
    public long latestStartMillis() {
      return Long.MAX_VALUE;
    }

    @Override
    public boolean waiting() {
      return true;
    }
  }

  // Guards against a queue that is never empty and remembers every group that ever used it.
  @Test
  void groupsWithoutQueuedItemsAreForgottenWhileTheQueueIsNeverEmpty() {
    FairQueue<Item> queue = new FairQueue<>();
    queue.add(new Item("first"));
    for (int i = 0; i < 10_000; i++) {
      queue.add(new Item("g" + i));
      queue.remove(queue.peek(0, 0).orElseThrow());
    }

    assertThat(queue.size()).isEqualTo(1);
    assertThat(queue.groups()).isAtMost(2_048);
  }

  @Test
  void aGroupDoesNotGoFirstAgainAfterOthersWereForgotten() {
    FairQueue<Item> queue = new FairQueue<>();
    for (int i = 0; i < 20; i++) {
      queue.add(new Item("many"));
    }
    for (int i = 0; i < 500; i++) {
      queue.add(new Item("g" + i));
    }
    int many = 0;
    for (int i = 0; i < 100; i++) {
      Item head = queue.peek(0, 0).orElseThrow();
      queue.remove(head);
      many += head.callerGroup().equals("many") ? 1 : 0;
    }

    assertThat(many).isEqualTo(1);
    assertThat(queue.sizeByGroup().get("many")).isEqualTo(19);
  }
}
