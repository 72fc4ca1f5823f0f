package org.wagtailpin.standins.hosts;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.wagtailpin.hostlist.Host;
import org.wagtailpin.hostlist.HostState;

/**
 * Handles the HTTP requests of one connection to the host list stand-in.
 *
 * <p>{@code GET /hosts} lists the visible hosts, {@code PUT /hosts} adds or changes one host, and
 * {@code PUT /lag} sets the lag to {@code millis}.
 */
final class HostListRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String HOSTS_PATH = "/hosts";
  private static final String LAG_PATH = "/lag";

  private final ObjectMapper mapper = new ObjectMapper();
  private final LaggingHosts hosts;

  HostListRequestHandler(LaggingHosts hosts) {
    this.hosts = hosts;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    FullHttpResponse response = answer(request);
    HttpUtil.setKeepAlive(response, keepAlive);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    context.writeAndFlush(response);
  }

  private FullHttpResponse answer(FullHttpRequest request) {
    if (request.method().equals(HttpMethod.GET) && request.uri().equals(HOSTS_PATH)) {
      return response(HttpResponseStatus.OK, hostsJson());
    }
    if (request.method().equals(HttpMethod.PUT)) {
      return handlePut(request.uri(), request.content().toString(StandardCharsets.UTF_8));
    }
    return response(HttpResponseStatus.NOT_FOUND, mapper.createObjectNode());
  }

  private JsonNode hostsJson() {
    ObjectNode root = mapper.createObjectNode();
    ArrayNode array = root.putArray("hosts");
    for (Host host : hosts.visible()) {
      array
          .addObject()
          .put("name", host.name())
          .put("address", host.address())
          .put("state", host.state().name().toLowerCase(Locale.ROOT));
    }
    return root;
  }

  private FullHttpResponse handlePut(String uri, String body) {
    JsonNode json;
    try {
      json = mapper.readTree(body);
    } catch (JsonProcessingException e) {
      return response(HttpResponseStatus.BAD_REQUEST, problemJson(e.getOriginalMessage()));
    }
    if (uri.equals(LAG_PATH) && json.path("millis").isIntegralNumber()) {
      hosts.setLagMillis(json.path("millis").asLong());
      return response(HttpResponseStatus.OK, mapper.createObjectNode());
    }
    Optional<HostState> state = parseState(json.path("state").asText());
    if (uri.equals(HOSTS_PATH) && state.isPresent() && json.has("name") && json.has("address")) {
      String name = json.path("name").asText();
      hosts.put(new Host(name, json.path("address").asText(), state.get()));
      return response(HttpResponseStatus.OK, mapper.createObjectNode());
    }
    return response(
        HttpResponseStatus.BAD_REQUEST, problemJson("expected name, address and state, or millis"));
  }

  private JsonNode problemJson(String detail) {
    return mapper.createObjectNode().put("problem", detail);
  }

  private static Optional<HostState> parseState(String text) {
    for (HostState state : HostState.values()) {
      if (state != HostState.UNKNOWN && state.name().toLowerCase(Locale.ROOT).equals(text)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }

  private static FullHttpResponse response(HttpResponseStatus status, JsonNode body) {
    ByteBuf content = Unpooled.copiedBuffer(body.toString(), StandardCharsets.UTF_8);
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
  }
}
