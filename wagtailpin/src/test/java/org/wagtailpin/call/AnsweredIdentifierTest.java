package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Tests which identifiers make an answer the one that is due, after an earlier answer. */
class AnsweredIdentifierTest {

  private static final String ID = "Wagtailpin-Attempt: ";
  private static final String END = "\r\n";

  /** Returns the status of a call whose server sends the given identifier headers. */
  private static int statusWith(UnaryOperator<String> headers) throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  String id = request.header("wagtailpin-attempt");
                  boolean first = request.text().equals("first");
                  to.send(
                      "HTTP/1.1 200 OK\r\n"
                          + (first ? ID + id + END : headers.apply(id))
                          + "Content-Length: 2\r\n\r\nok");
                  return first;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "first").status()).isEqualTo(200);
      return caller.call("POST", "/x", "", "second").status();
    }
  }

  @Test
  void anAnswerWithAnotherOrNoIdentifierIsNotPassedOn() throws Exception {
    List<UnaryOperator<String>> others =
        List.of(
            id -> "",
            id -> ID + END,
            id -> ID + "other" + END,
            id -> ID + id + "0" + END,
            id -> ID + id.substring(1) + END,
            id -> ID + id + ", " + id + END,
            id -> ID + id.toUpperCase(Locale.ROOT) + "X" + END,
            id -> ID + "\"" + id + "\"" + END,
            id -> "X-" + ID + id + END);
    for (int i = 0; i < others.size(); i++) {
      assertWithMessage("case " + i).that(statusWith(others.get(i))).isEqualTo(502);
    }
  }

  @Test
  void whiteSpaceAroundAnIdentifierAndTheCaseOfItsHeaderDoNotMatter() throws Exception {
    assertThat(statusWith(id -> ID + "\t " + id + " \t" + END)).isEqualTo(200);
    assertThat(statusWith(id -> ID.toUpperCase(Locale.ROOT) + id + END)).isEqualTo(200);
  }

  // Guards against parts of two answers as one: a head with two identifiers was taken for the
  // answer
  // to the first one.
  @Test
  void anAnswerWithTwoIdentifiersIsNotPassedOn() throws Exception {
    assertThat(statusWith(id -> ID + id + END + ID + "other" + END)).isEqualTo(502);
    assertThat(statusWith(id -> ID + "other" + END + ID + id + END)).isEqualTo(502);
    assertThat(statusWith(id -> ID + id + END + ID + id + END)).isEqualTo(502);
  }
}
