package org.wagtailpin.proof.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.claims.HeldAnswer;

/** Simulated backend server that counts how often it executed each order. */
final class OrderServer {

  /** How the server responds to an order; see {@link #executeOrder}. */
  enum Behaviour {
    ANSWERS,
    REFUSES,
    LOSES_ANSWERS
  }

  private final Map<String, Integer> runCounts = new HashMap<>();
  private Behaviour behaviour = Behaviour.ANSWERS;
  private long workMillis = 20;

  void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  void setWorkMillis(long millis) {
    workMillis = millis;
  }

  long workMillis() {
    return workMillis;
  }

  /**
   * Executes an order, unless the server refuses work, and returns the outcome that the entry
   * observes. With {@link Behaviour#LOSES_ANSWERS}, the order is executed and the outcome unknown.
   */
  ClaimSettlement executeOrder(String order) {
    if (behaviour == Behaviour.REFUSES) {
      return new ClaimSettlement.NotRun();
    }
    int run = runCounts.merge(order, 1, Integer::sum);
    if (behaviour == Behaviour.LOSES_ANSWERS) {
      return new ClaimSettlement.Unknown();
    }
    byte[] body = (order + ", run " + run).getBytes(UTF_8);
    return new ClaimSettlement.Answered(new HeldAnswer(201, List.of(), body));
  }

  int runCount(String order) {
    return runCounts.getOrDefault(order, 0);
  }

  int maxRunCount() {
    return runCounts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }
}
