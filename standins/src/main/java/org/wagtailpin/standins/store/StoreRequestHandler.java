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
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.wire.StoreProtocol;

/**
 * Handles the HTTP requests of one connection to the store stand-in.
 *
 * <p>Besides the paths of {@link StoreProtocol}, {@code /faults} reads and sets the injected faults
 * and {@code /calls} returns the call counts. {@code /copy} makes a copy of the content, and {@code
 * /restore} restores the last one. All of these work while the store is set to be down.
 */
final class StoreRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String FAULTS_PATH = "/faults";
  private static final String CALLS_PATH = "/calls";
  private static final String COPY_PATH = "/copy";
  private static final String RESTORE_PATH = "/restore";
  private static final String DEFAULT_CLIENT_NAME = "unnamed";

  private final FaultyStore store;
  private final CallCounts counts;
  private final StoreCopies copies;

  StoreRequestHandler(FaultyStore store, CallCounts counts, StoreCopies copies) {
    this.store = store;
    this.counts = counts;
    this.copies = copies;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    StoreReply reply = new StoreReply(context, HttpUtil.isKeepAlive(request), store::era);
    try {
      handle(query, request, reply);
    } catch (IllegalArgumentException e) {
      reply.sendRefusal(HttpResponseStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private void handle(QueryStringDecoder query, FullHttpRequest request, StoreReply reply) {
    byte[] body = ByteBufUtil.getBytes(request.content());
    String client = request.headers().get(StoreProtocol.CLIENT_HEADER, DEFAULT_CLIENT_NAME);
    switch (query.path()) {
      case FAULTS_PATH -> handleFaults(request.method(), body, reply);
      case COPY_PATH -> {
        copies.take(store);
        reply.sendText(HttpResponseStatus.OK, "copied\n");
      }
      case RESTORE_PATH -> handleRestore(reply);
      case CALLS_PATH -> reply.sendText(HttpResponseStatus.OK, countsText());
      default -> handleCall(query, request.method(), body, store.client(client), reply);
    }
  }

  private void handleCall(
      QueryStringDecoder query, HttpMethod method, byte[] body, Store client, StoreReply reply) {
    if (store.faults().down()) {
      reply.closeConnection();
      return;
    }
    switch (query.path()) {
      case StoreProtocol.KEY_PATH -> handleKey(query, method, body, client, reply);
      case StoreProtocol.LIST_PATH -> {
        counts.countCall(CallCounts.Kind.LIST);
        answer(client.list(textParameter(query, StoreProtocol.PREFIX_PARAMETER)), reply::sendList);
      }
      case StoreProtocol.CHANGES_PATH -> {
        counts.countCall(CallCounts.Kind.WATCH);
        answer(
            client.watch(
                textParameter(query, StoreProtocol.PREFIX_PARAMETER),
                revision(numberParameter(query, StoreProtocol.AFTER_PARAMETER)),
                numberParameter(query, StoreProtocol.WAIT_PARAMETER)),
            reply::sendChanges);
      }
      case StoreProtocol.LEASE_PATH -> handleLease(query, method, client, reply);
      default -> reply.sendRefusal(HttpResponseStatus.NOT_FOUND, "no such path: " + query.path());
    }
  }

  private void handleKey(
      QueryStringDecoder query, HttpMethod method, byte[] body, Store client, StoreReply reply) {
    String key = textParameter(query, StoreProtocol.KEY_PARAMETER);
    if (method.equals(HttpMethod.GET)) {
      counts.countCall(CallCounts.Kind.READ);
      answer(client.read(key), reply::sendRead);
    } else if (method.equals(HttpMethod.PUT)) {
      counts.countCall(CallCounts.Kind.WRITE);
      answer(
          client.write(key, body, conditionParameter(query), leaseParameter(query)),
          reply::sendWrite);
    } else if (method.equals(HttpMethod.DELETE)) {
      counts.countCall(CallCounts.Kind.WRITE);
      answer(client.delete(key, conditionParameter(query)), reply::sendWrite);
    } else {
      reply.sendRefusal(HttpResponseStatus.METHOD_NOT_ALLOWED, "no such method: " + method);
    }
  }

  private void handleLease(
      QueryStringDecoder query, HttpMethod method, Store client, StoreReply reply) {
    counts.countCall(CallCounts.Kind.LEASE);
    if (method.equals(HttpMethod.POST)) {
      answer(
          client.grantLease(numberParameter(query, StoreProtocol.TTL_PARAMETER)), reply::sendLease);
      return;
    }
    LeaseId lease = leaseId(query);
    if (method.equals(HttpMethod.PUT)) {
      answer(client.renewLease(lease), reply::sendLease);
    } else {
      answer(client.revokeLease(lease), reply::sendLease);
    }
  }

  private static <R> void answer(CompletableFuture<R> result, Consumer<R> callback) {
    CompletableFuture<Void> unused = result.thenAccept(callback);
  }

  private void handleFaults(HttpMethod method, byte[] body, StoreReply reply) {
    FaultsJson json = new FaultsJson();
    if (!method.equals(HttpMethod.PUT)) {
      reply.sendText(HttpResponseStatus.OK, json.write(store.faults()));
      return;
    }
    FaultsReadResult result = json.read(body);
    if (result instanceof FaultsReadResult.Read read) {
      store.changeFaults(read.faults());
      reply.sendText(HttpResponseStatus.OK, json.write(read.faults()));
    } else if (result instanceof FaultsReadResult.Malformed malformed) {
      reply.sendText(HttpResponseStatus.BAD_REQUEST, malformed.problems().toString());
    }
  }

  private void handleRestore(StoreReply reply) {
    if (copies.restore(store)) {
      reply.sendText(HttpResponseStatus.OK, "restored, era " + store.era() + "\n");
    } else {
      reply.sendText(HttpResponseStatus.CONFLICT, "no copy was made\n");
    }
  }

  private String countsText() {
    StringBuilder text = new StringBuilder();
    for (CallCounts.Kind kind : CallCounts.Kind.values()) {
      text.append(kind.name()).append(' ').append(counts.of(kind)).append('\n');
    }
    return text.toString();
  }

  private WriteCondition conditionParameter(QueryStringDecoder query) {
    String word = textParameter(query, StoreProtocol.CONDITION_PARAMETER);
    return switch (word) {
      case StoreProtocol.ALWAYS -> new WriteCondition.Always();
      case StoreProtocol.ABSENT -> new WriteCondition.Absent();
      default -> new WriteCondition.AtRevision(revision(parseNumber(word)));
    };
  }

  private Optional<LeaseId> leaseParameter(QueryStringDecoder query) {
    return query.parameters().containsKey(StoreProtocol.LEASE_PARAMETER)
        ? Optional.of(leaseId(query))
        : Optional.empty();
  }

  private LeaseId leaseId(QueryStringDecoder query) {
    return new LeaseId(numberParameter(query, StoreProtocol.LEASE_PARAMETER), store.era());
  }

  /** Returns the number of a revision, which clients state without the era. */
  private long revision(long stated) {
    return StoreRevision.of(store.era(), stated);
  }

  private static long numberParameter(QueryStringDecoder query, String parameter) {
    return parseNumber(textParameter(query, parameter));
  }

  private static long parseNumber(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not a whole number: " + text, e);
    }
  }

  private static String textParameter(QueryStringDecoder query, String parameter) {
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
