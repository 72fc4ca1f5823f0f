package org.wagtailpin.standins.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Set;
import org.wagtailpin.json.JsonObjectReader;
import org.wagtailpin.json.JsonParseResult;
import org.wagtailpin.json.JsonProblems;
import org.wagtailpin.json.JsonTextParser;
import org.wagtailpin.store.memory.StoreFaults;

/** Reads and writes {@link StoreFaults} as JSON. A missing member means no such fault. */
final class FaultsJson {

  private static final long MAX_MILLIS = 3_600_000;

  private final ObjectMapper mapper = new ObjectMapper();

  String write(StoreFaults faults) {
    try {
      return mapper.writeValueAsString(faults);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no JSON form: " + faults, e);
    }
  }

  FaultsReadResult read(byte[] json) {
    JsonParseResult parsed = new JsonTextParser().parse("faults", json);
    if (parsed instanceof JsonParseResult.Malformed malformed) {
      return new FaultsReadResult.Malformed(List.of(malformed.problem()));
    }
    JsonProblems problems = new JsonProblems();
    JsonObjectReader in =
        JsonObjectReader.of(((JsonParseResult.Parsed) parsed).value(), "", problems);
    StoreFaults faults = readFaults(in);
    in.endObject();
    return problems.isEmpty()
        ? new FaultsReadResult.Read(faults)
        : new FaultsReadResult.Malformed(problems.all());
  }

  private static StoreFaults readFaults(JsonObjectReader in) {
    return StoreFaults.builder()
        .down(in.bool("down", false))
        .delay(in.integer("delayMaxMillis", 0, MAX_MILLIS, 0))
        .lostRequests(in.number("lostRequestShare", 0, 1, 0))
        .lostAnswers(in.number("lostAnswerShare", 0, 1, 0))
        .lostWriteAnswers(in.number("lostWriteAnswerShare", 0, 1, 0))
        .staleReads(
            in.number("staleShare", 0, 1, 0), in.integer("staleMaxMillis", 0, MAX_MILLIS, 0))
        .slowWatch(
            in.integer("watchLagMillis", 0, MAX_MILLIS, 0), in.number("compactedShare", 0, 1, 0))
        .partition(Set.copyOf(in.strings("partitionedClients")))
        .build();
  }
}
