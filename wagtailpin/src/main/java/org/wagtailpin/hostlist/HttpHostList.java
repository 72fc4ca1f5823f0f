package org.wagtailpin.hostlist;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * Host list over HTTP: {@code GET /hosts} answers with a JSON object whose {@code hosts} each have
 * a {@code name}, an {@code address} and a {@code state}.
 */
public final class HttpHostList implements HostList {

  private static final int OK = 200;
  private static final Map<String, HostState> STATES =
      Map.of("live", HostState.LIVE, "leaving", HostState.LEAVING, "gone", HostState.GONE);

  private final AsyncHttpClient client;
  private final String url;
  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Creates a client of a host list.
   *
   * @param client sends the requests; its timeouts apply
   * @param base base URI of the server, without a path
   */
  public HttpHostList(AsyncHttpClient client, URI base) {
    this.client = client;
    this.url = base + "/hosts";
  }

  @Override
  public CompletableFuture<HostListResult> list() {
    return client
        .prepareGet(url)
        .execute()
        .toCompletableFuture()
        .handle((response, cause) -> cause == null ? read(response) : failed(cause.toString()));
  }

  private HostListResult read(Response response) {
    if (response.getStatusCode() != OK) {
      return failed("answer with status " + response.getStatusCode());
    }
    try {
      return read(mapper.readTree(response.getResponseBodyAsBytes()));
    } catch (JsonProcessingException e) {
      return failed("answer is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      return failed("answer cannot be read: " + e.getMessage());
    }
  }

  private HostListResult read(JsonNode root) {
    if (!root.path("hosts").isArray()) {
      return failed("answer has no hosts");
    }
    List<Host> hosts = new ArrayList<>();
    for (JsonNode host : root.path("hosts")) {
      // A state that this version does not support must not be relied on.
      HostState state = STATES.getOrDefault(host.path("state").asText(), HostState.UNKNOWN);
      hosts.add(new Host(host.path("name").asText(), host.path("address").asText(), state));
    }
    return new HostListResult.Listed(hosts);
  }

  private HostListResult failed(String detail) {
    return new HostListResult.Failed(new Fault(Step.LIST_HOSTS, Peer.HOST_LIST, url, detail));
  }
}
