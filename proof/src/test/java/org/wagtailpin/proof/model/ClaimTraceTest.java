package org.wagtailpin.proof.model;

import static com.google.common.truth.Truth.assertThat;

import edu.mit.csail.sdg.translator.A4Solution;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the first traces of two run commands of the claims specification against the
 * implementation.
 */
class ClaimTraceTest {

  private static final int TRACE_COUNT = 20;

  @ParameterizedTest
  @ValueSource(strings = {"dispatchedTwiceInTurn", "rivalsOnOneRevision"})
  void implementationFollowsTracesOfSpecification(String command) {
    A4Solution solution = Specification.load("claims").execute(command);
    int replayed = 0;
    while (solution.satisfiable() && replayed < TRACE_COUNT) {
      new ClaimTraceRunner(new Trace(solution)).run();
      replayed++;
      solution = solution.next();
    }
    assertThat(replayed).isEqualTo(TRACE_COUNT);
  }
}
