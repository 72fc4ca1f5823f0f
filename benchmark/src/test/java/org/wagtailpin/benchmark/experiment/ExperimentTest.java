package org.wagtailpin.benchmark.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExperimentTest {

  private static final String SMALL =
      """
      // Two regions, short phases.
      {"name": "small", "versions": ["random", "central-bound", "wagtailpin"], "seeds": [3],
       "regions": ["north", "south"], "entries": 4, "callerMillis": 1, "domainMillis": 1,
       "regionMillis": 2, "linkBytesPerSecond": 1000000, "callBytes": 1000, "connections": 40,
       "probeMillis": 1, "probesPerSecond": 1,
       "services": [{"name": "lessons", "servers": 4, "slots": 2, "shedAt": 3, "routes": [
         {"name": "lesson", "share": 1, "workMillis": 10, "spread": 0.3, "stragglerShare": 0.01,
          "stragglerFactor": 10, "longWork": false, "repeatable": false, "mayWait": false,
          "deadlineMillis": 20000}]}],
       "groups": [{"name": "workers", "weight": 1, "share": 1}],
       "phases": [{"name": "flood", "millis": 700, "load": 1.5, "settleMillis": 0,
                   "measured": true}],
       "faults": [{"kind": "drain", "service": "lessons", "server": 1, "fromMillis": 200,
                   "toMillis": 600, "factor": 1}]}
      """;

  @TempDir private Path directory;

  private ExperimentFile small() throws IOException {
    Path file = directory.resolve("small.json");
    Files.writeString(file, SMALL);
    return ExperimentFile.read(file);
  }

  @Test
  void allVersionsGetTheSameCallsWithoutRepeatsOrUntrueRefusals() throws Exception {
    ExperimentFile file = small();
    PrintStream progress =
        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);

    List<ResultRow> rows = Results.of(file, new Experiment(file, progress).run()).rows();

    assertThat(rows).hasSize(3);
    for (ResultRow row : rows) {
      assertThat(row.offered()).isEqualTo(rows.get(0).offered());
      assertThat(row.inTimeShare()).isGreaterThan(0.0);
      assertThat(row.repeated()).isEqualTo(0);
      assertThat(row.untrueRefusals()).isEqualTo(0);
    }
  }

  @Test
  void theSameSeedDrawsTheSameWork() throws IOException {
    WorkSource one = new WorkSource(small(), 5, 1);
    WorkSource other = new WorkSource(small(), 5, 1);

    for (int i = 0; i < 1000; i++) {
      assertThat(one.next()).isEqualTo(other.next());
    }
  }

  @Test
  void theFilesOfBothUsersCanBeRead() throws IOException {
    Path experiments = Path.of("..", "experiments");

    assertThat(ExperimentFile.read(experiments.resolve("hamla-sahiha.json")).entries())
        .isEqualTo(16);
    assertThat(ExperimentFile.read(experiments.resolve("kylmalava.json")).entries()).isEqualTo(16);
  }
}
