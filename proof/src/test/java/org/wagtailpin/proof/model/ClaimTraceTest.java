package org.wagtailpin.proof.model;

import static com.google.common.truth.Truth.assertThat;

import edu.mit.csail.sdg.translator.A4Solution;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimTraceTest {

  private static final int TRACE_COUNT = 20;

  @ParameterizedTest
  @ValueSource(strings = {"dispatchedTwiceInTurn", "rivalsOnOneRevision"})
  void implementationFollowsTracesOfSpecification(String command) {
    A4Solution solution = Specification.load("claims").execute(command);
    int followed = 0;
    while (solution.satisfiable() && followed < TRACE_COUNT) {
      new ClaimTraceRunner(new Trace(solution)).run();
      followed++;
      solution = solution.next();
    }
    assertThat(followed).isEqualTo(TRACE_COUNT);
  }
}
