package org.wagtailpin.config;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wagtailpin.json.JsonObjectReader;

/** Reads values of tunables from tickets and settings. */
public final class TunableValuesReader {

  private static final String NAMES =
      Arrays.stream(Tunable.values()).map(Tunable::label).collect(Collectors.joining(", "));

  private TunableValuesReader() {}

  /**
   * Reads an object whose keys are labels of tunables.
   *
   * @param in the object; unknown labels and values out of range are reported through it
   */
  public static Map<Tunable, Double> read(JsonObjectReader in) {
    Map<Tunable, Double> values = new EnumMap<>(Tunable.class);
    for (String label : in.keys()) {
      Optional<Tunable> tunable = Tunable.ofLabel(label);
      if (tunable.isPresent()) {
        Tunable known = tunable.get();
        values.put(known, in.number(label, known.min(), known.max()));
      } else {
        in.addUnknownKeyProblem(label, "one of " + NAMES);
      }
    }
    return values;
  }
}
