package org.wagtailpin.standins.store;

import java.util.List;
import org.wagtailpin.json.JsonProblem;
import org.wagtailpin.store.memory.StoreFaults;

/** How the reading of faults from JSON ended. */
sealed interface FaultsReadResult {

  /** The faults are well formed. */
  record Read(StoreFaults faults) implements FaultsReadResult {}

  /** The text does not describe faults. */
  record Malformed(List<JsonProblem> problems) implements FaultsReadResult {}
}
