package org.wagtailpin.proof.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs the commands of all specifications: every check has no counterexample, every run has an
 * instance, and every check gets a counterexample when one of its guards is removed. The latter
 * detects checks that hold trivially.
 */
class SpecificationTest {

  private static final List<Specification> ALL =
      Stream.of("claims", "configuration", "restore", "shares").map(Specification::load).toList();

  @TestFactory
  Stream<DynamicTest> everyCheckHolds() {
    return ALL.stream()
        .flatMap(
            specification ->
                specification.commands(true).stream()
                    .map(
                        check ->
                            dynamicTest(
                                title(specification, check),
                                () -> assertUnsatisfiable(specification, check))));
  }

  @TestFactory
  Stream<DynamicTest> everyCheckFailsWithoutEachOfItsGuards() {
    return ALL.stream()
        .flatMap(
            specification ->
                specification.guards().stream()
                    .map(
                        guard ->
                            dynamicTest(
                                title(specification.without(guard), guard.check()),
                                () ->
                                    assertSatisfiable(
                                        specification.without(guard), guard.check()))));
  }

  @TestFactory
  Stream<DynamicTest> everyRunFindsAnInstance() {
    return ALL.stream()
        .flatMap(
            specification ->
                specification.commands(false).stream()
                    .map(
                        run ->
                            dynamicTest(
                                title(specification, run),
                                () -> assertSatisfiable(specification, run))));
  }

  @Test
  void everyCheckHasAGuard() {
    for (Specification specification : ALL) {
      Set<String> guarded = new HashSet<>();
      specification.guards().forEach(guard -> guarded.add(guard.check()));
      assertThat(guarded).containsExactlyElementsIn(specification.commands(true));
    }
  }

  private static String title(Specification specification, String command) {
    return specification.name() + ": " + command;
  }

  private static void assertUnsatisfiable(Specification specification, String check) {
    assertWithMessage("a counterexample of %s", check)
        .that(specification.execute(check).satisfiable())
        .isFalse();
  }

  private static void assertSatisfiable(Specification specification, String command) {
    assertWithMessage("an instance of %s", command)
        .that(specification.execute(command).satisfiable())
        .isTrue();
  }
}
