package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store on loopback, as far as the protocol page describes reads and watches. */
final class Store implements AutoCloseable {

  private static final int PAGE_ITEMS = 500;

  private record Item(String value, long revision, long created) {}

  private final ObjectMapper json = new ObjectMapper();
  private final NavigableMap<String, Item> items = new TreeMap<>();
  private final List<ObjectNode> events = new ArrayList<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpServer server;
  private long revision = 100;
  private long cuts;

  Store(String address) throws IOException {
    server = HttpServer.create(new InetSocketAddress(address, 0), 256);
    server.setExecutor(threads);
    server.createContext("/", this::serve);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a key as the operator and the upstreams do, and returns the revision. */
  synchronized long put(String key, byte[] value) {
    revision++;
    Item before = items.get(key);
    String text = Base64.getEncoder().encodeToString(value);
    items.put(key, new Item(text, revision, before == null ? revision : before.created()));
    events.add(node(key));
    notifyAll();
    return revision;
  }

  long put(String key, String value) {
    return put(key, value.getBytes(StandardCharsets.UTF_8));
  }

  synchronized void remove(String key) {
    if (items.remove(key) == null) {
      return;
    }
    revision++;
    events.add(
        json.createObjectNode().put("key", key).put("revision", revision).put("deleted", true));
    notifyAll();
  }

  /** Cuts the connections of all watches that wait, without an answer. */
  synchronized void cutWatches() {
    cuts++;
    notifyAll();
  }

  private ObjectNode node(String key) {
    Item item = items.get(key);
    return json.createObjectNode()
        .put("key", key)
        .put("value", item.value())
        .put("revision", item.revision())
        .put("created", item.created())
        .put("lease", 0);
  }

  private void serve(HttpExchange exchange) {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/kv-key" -> read(exchange, query.get("key"));
        case "/kv-range" -> range(exchange, query);
        case "/kv-watch" -> watch(exchange, query);
        // Nothing is written in these cases; 503 states that nothing was done.
        default -> answer(exchange, 503, json.createObjectNode());
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  private void read(HttpExchange exchange, String key) throws IOException {
    ObjectNode body;
    int status;
    synchronized (this) {
      status = items.containsKey(key) ? 200 : 404;
      body = status == 200 ? node(key) : json.createObjectNode();
      body.put("asOf", revision);
    }
    answer(exchange, status, body);
  }

  private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
    ObjectNode page = json.createObjectNode();
    synchronized (this) {
      ArrayNode listed = page.putArray("items");
      boolean truncated = false;
      for (String key : items.tailMap(query.getOrDefault("after", ""), false).keySet()) {
        if (key.startsWith(query.getOrDefault("pathPrefix", ""))) {
          if (listed.size() == PAGE_ITEMS) {
            truncated = true;
            break;
          }
          listed.add(node(key));
        }
      }
      page.put("truncated", truncated).put("asOf", revision);
    }
    answer(exchange, 200, page);
  }

  private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
    String prefix = query.getOrDefault("pathPrefix", "");
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    ObjectNode body = json.createObjectNode();
    synchronized (this) {
      long cutsBefore = cuts;
      List<JsonNode> found = eventsAfter(prefix, after);
      long left = end - System.nanoTime();
      while (found.isEmpty() && left > 0) {
        try {
          wait(Math.max(1, left / 1_000_000));
        } catch (InterruptedException e) {
          return;
        }
        if (cuts != cutsBefore) {
          return;
        }
        found = eventsAfter(prefix, after);
        left = end - System.nanoTime();
      }
      body.putArray("events").addAll(found);
      body.put("asOf", revision);
    }
    answer(exchange, 200, body);
  }

  private List<JsonNode> eventsAfter(String prefix, long after) {
    List<JsonNode> found = new ArrayList<>();
    for (ObjectNode event : events) {
      if (event.get("revision").asLong() > after && event.get("key").asText().startsWith(prefix)) {
        found.add(event);
      }
    }
    return found;
  }

  private void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = json.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> values = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
