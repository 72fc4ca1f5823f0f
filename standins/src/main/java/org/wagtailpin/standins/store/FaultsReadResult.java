package org.wagtailpin.standins.store;

import java.util.List;
import org.wagtailpin.json.JsonProblem;
import org.wagtailpin.store.memory.StoreFaults;

/** Result of reading store faults from JSON. */
sealed interface FaultsReadResult {

  /** The JSON text was valid. */
  record Read(StoreFaults faults) implements FaultsReadResult {}

  /** The JSON text is malformed or does not describe faults; lists what is wrong. */
  record Malformed(List<JsonProblem> problems) implements FaultsReadResult {}
}
