package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays a store that turns away the watchers and those that would succeed them. */
class FirstRanksCutOffTest {

  private static final long SETTLE_MILLIS = 8_000;
  private static final long STEP_MILLIS = 100;

  /** How much longer a change may take while the store turns entries away. */
  private static final long MAX_SKEW_MILLIS = 5_000;

  /** Cuts the watcher and the first entries of each domain off from the store. */
  private static List<SimulatedMember> cutFirstRanks(SimulatedDomains fleet, int ranks) {
    List<SimulatedMember> cut = new ArrayList<>();
    for (String domain : fleet.domains()) {
      List<SimulatedMember> members = new ArrayList<>(fleet.watchers(domain));
      fleet.members().stream()
          .filter(member -> member.domain().equals(domain) && !members.contains(member))
          .limit(ranks)
          .forEach(members::add);
      cut.addAll(members);
    }
    cut.forEach(member -> fleet.cutFromStore(member.id(), true));
    return cut;
  }

  @ParameterizedTest
  @CsvSource({"1, 2, 0", "1, 17, 3", "2, 5, 2", "6, 5, 3", "9, 17, 1", "9, 17, 3", "9, 17, 6"})
  void aChangeIsInForceInTimeWhileTheStoreTurnsTheFirstRanksAway(
      int domains, int entries, int ranks) {
    for (long phaseMillis = 0; phaseMillis < 2_000; phaseMillis += 400) {
      SimulatedDomains fleet = new SimulatedDomains(phaseMillis + 1);
      fleet.start(domains, entries);
      fleet.changeDocument();
      fleet.advance(SETTLE_MILLIS + phaseMillis);
      List<SimulatedMember> cut = cutFirstRanks(fleet, ranks);
      fleet.advance(STEP_MILLIS);
      int version = fleet.changeDocument();
      fleet.advance(SimulatedDomains.BOUND_MILLIS + MAX_SKEW_MILLIS);

      for (SimulatedMember member : fleet.members()) {
        if (!cut.contains(member)) {
          assertWithMessage(member.id()).that(member.version()).isEqualTo(version);
        }
      }
    }
  }
}
