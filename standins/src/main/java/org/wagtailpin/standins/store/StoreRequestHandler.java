package org.wagtailpin.standins.store;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.wire.StoreProtocol;

/** Carries out the requests of one connection. */
final class StoreRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String FAULTS_PATH = "/faults";
  private static final String CALLS_PATH = "/calls";
  private static final String UNNAMED = "unnamed";

  private final FaultyStore store;
  private final CallCounts counts;

  StoreRequestHandler(FaultyStore store, CallCounts counts) {
    this.store = store;
    this.counts = counts;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    StoreReply reply = new StoreReply(context, HttpUtil.isKeepAlive(request));
    try {
      handle(query, request, reply);
    } catch (IllegalArgumentException e) {
      reply.refused(HttpResponseStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private void handle(QueryStringDecoder query, FullHttpRequest request, StoreReply reply) {
    byte[] body = ByteBufUtil.getBytes(request.content());
    String client = request.headers().get(StoreProtocol.CLIENT_HEADER, UNNAMED);
    switch (query.path()) {
      case FAULTS_PATH -> faults(request.method(), body, reply);
      case CALLS_PATH -> reply.text(HttpResponseStatus.OK, countsText());
      default -> call(query, request.method(), body, store.client(client), reply);
    }
  }

  private void call(
      QueryStringDecoder query, HttpMethod method, byte[] body, Store client, StoreReply reply) {
    if (store.faults().down()) {
      reply.drop();
      return;
    }
    switch (query.path()) {
      case StoreProtocol.KEY_PATH -> key(query, method, body, client, reply);
      case StoreProtocol.LIST_PATH -> {
        counts.add(CallCounts.Kind.LIST);
        answer(client.list(text(query, StoreProtocol.PREFIX_PARAMETER)), reply::list);
      }
      case StoreProtocol.CHANGES_PATH -> {
        counts.add(CallCounts.Kind.WATCH);
        answer(
            client.watch(
                text(query, StoreProtocol.PREFIX_PARAMETER),
                number(query, StoreProtocol.AFTER_PARAMETER),
                number(query, StoreProtocol.WAIT_PARAMETER)),
            reply::changes);
      }
      case StoreProtocol.LEASE_PATH -> lease(query, method, client, reply);
      default -> reply.refused(HttpResponseStatus.NOT_FOUND, "no such path: " + query.path());
    }
  }

  private void key(
      QueryStringDecoder query, HttpMethod method, byte[] body, Store client, StoreReply reply) {
    String key = text(query, StoreProtocol.KEY_PARAMETER);
    if (method.equals(HttpMethod.GET)) {
      counts.add(CallCounts.Kind.READ);
      answer(client.read(key), reply::read);
    } else if (method.equals(HttpMethod.PUT)) {
      counts.add(CallCounts.Kind.WRITE);
      answer(client.write(key, body, condition(query), leaseOf(query)), reply::write);
    } else if (method.equals(HttpMethod.DELETE)) {
      counts.add(CallCounts.Kind.WRITE);
      answer(client.delete(key, condition(query)), reply::write);
    } else {
      reply.refused(HttpResponseStatus.METHOD_NOT_ALLOWED, "no such method: " + method);
    }
  }

  private void lease(QueryStringDecoder query, HttpMethod method, Store client, StoreReply reply) {
    counts.add(CallCounts.Kind.LEASE);
    if (method.equals(HttpMethod.POST)) {
      answer(client.grantLease(number(query, StoreProtocol.TTL_PARAMETER)), reply::lease);
      return;
    }
    LeaseId lease = new LeaseId(number(query, StoreProtocol.LEASE_PARAMETER));
    if (method.equals(HttpMethod.PUT)) {
      answer(client.renewLease(lease), reply::lease);
    } else {
      answer(client.revokeLease(lease), reply::lease);
    }
  }

  private static <R> void answer(CompletableFuture<R> result, Consumer<R> to) {
    CompletableFuture<Void> unused = result.thenAccept(to);
  }

  private void faults(HttpMethod method, byte[] body, StoreReply reply) {
    FaultsJson json = new FaultsJson();
    if (!method.equals(HttpMethod.PUT)) {
      reply.text(HttpResponseStatus.OK, json.write(store.faults()));
      return;
    }
    FaultsReadResult result = json.read(body);
    if (result instanceof FaultsReadResult.Read read) {
      store.changeFaults(read.faults());
      reply.text(HttpResponseStatus.OK, json.write(read.faults()));
    } else if (result instanceof FaultsReadResult.Malformed malformed) {
      reply.text(HttpResponseStatus.BAD_REQUEST, malformed.problems().toString());
    }
  }

  private String countsText() {
    StringBuilder text = new StringBuilder();
    for (CallCounts.Kind kind : CallCounts.Kind.values()) {
      text.append(kind.name()).append(' ').append(counts.of(kind)).append('\n');
    }
    return text.toString();
  }

  private static WriteCondition condition(QueryStringDecoder query) {
    String word = text(query, StoreProtocol.CONDITION_PARAMETER);
    return switch (word) {
      case StoreProtocol.ALWAYS -> new WriteCondition.Always();
      case StoreProtocol.ABSENT -> new WriteCondition.Absent();
      default -> new WriteCondition.AtRevision(numberOf(word));
    };
  }

  private static Optional<LeaseId> leaseOf(QueryStringDecoder query) {
    return query.parameters().containsKey(StoreProtocol.LEASE_PARAMETER)
        ? Optional.of(new LeaseId(number(query, StoreProtocol.LEASE_PARAMETER)))
        : Optional.empty();
  }

  private static long number(QueryStringDecoder query, String parameter) {
    return numberOf(text(query, parameter));
  }

  private static long numberOf(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not a whole number: " + text, e);
    }
  }

  private static String text(QueryStringDecoder query, String parameter) {
    List<String> values = query.parameters().get(parameter);
    if (values == null || values.isEmpty()) {
      throw new IllegalArgumentException("parameter missing: " + parameter);
    }
    return values.get(0);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    ChannelFuture unused = context.close();
  }
}
