package org.wagtailpin.tools;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.wagtailpin.config.ConfigReport;
import org.wagtailpin.operator.ConfigPage;

/** Asks entries which configuration they have in force. */
final class EntryReports {

  private static final int OK = 200;

  private final AsyncHttpClient http;
  private final List<String> addresses;
  private final ObjectMapper mapper = new ObjectMapper();

  EntryReports(AsyncHttpClient http, String addresses) {
    this.http = http;
    this.addresses = addresses.isEmpty() ? List.of() : List.of(addresses.split(","));
  }

  /** Asks all entries at once. */
  List<EntryAnswer> ask() {
    List<CompletableFuture<EntryAnswer>> asked = new ArrayList<>();
    addresses.forEach(address -> asked.add(ask(address)));
    return asked.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<EntryAnswer> ask(String address) {
    return http.prepareGet("http://" + address + ConfigPage.PATH)
        .execute()
        .toCompletableFuture()
        .handle(
            (response, error) ->
                error == null
                    ? answerOf(address, response)
                    : new EntryAnswer.Silent(address, String.valueOf(error.getMessage())));
  }

  private EntryAnswer answerOf(String address, Response response) {
    if (response.getStatusCode() != OK) {
      return new EntryAnswer.Silent(address, "status " + response.getStatusCode());
    }
    try {
      ConfigReport report = mapper.readValue(response.getResponseBodyAsBytes(), ConfigReport.class);
      return new EntryAnswer.Told(address, report);
    } catch (IOException e) {
      return new EntryAnswer.Silent(address, "an answer that is no report");
    }
  }
}
