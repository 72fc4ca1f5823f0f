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

/** Fetches the configuration reports of entries from their admin listeners. */
final class EntryReportClient {

  private static final int OK = 200;

  private final AsyncHttpClient http;
  private final List<String> addresses;
  private final ObjectMapper mapper = new ObjectMapper();

  EntryReportClient(AsyncHttpClient http, String addresses) {
    this.http = http;
    this.addresses = addresses.isEmpty() ? List.of() : List.of(addresses.split(","));
  }

  /** Requests the reports of all entries in parallel and waits for all answers. */
  List<EntryAnswer> fetchAll() {
    List<CompletableFuture<EntryAnswer>> pending = new ArrayList<>();
    addresses.forEach(address -> pending.add(fetch(address)));
    return pending.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<EntryAnswer> fetch(String address) {
    return http.prepareGet("http://" + address + ConfigPage.PATH)
        .execute()
        .toCompletableFuture()
        .handle(
            (response, error) ->
                error == null
                    ? parseAnswer(address, response)
                    : new EntryAnswer.NoReport(address, String.valueOf(error.getMessage())));
  }

  private EntryAnswer parseAnswer(String address, Response response) {
    if (response.getStatusCode() != OK) {
      return new EntryAnswer.NoReport(address, "status " + response.getStatusCode());
    }
    try {
      ConfigReport report = mapper.readValue(response.getResponseBodyAsBytes(), ConfigReport.class);
      return new EntryAnswer.Reported(address, report);
    } catch (IOException e) {
      return new EntryAnswer.NoReport(address, "unreadable configuration report");
    }
  }
}
