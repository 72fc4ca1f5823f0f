package org.wagtailpin.standins.store;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.function.LongSupplier;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteResult;
import org.wagtailpin.store.wire.ChangeMessage;
import org.wagtailpin.store.wire.ChangesMessage;
import org.wagtailpin.store.wire.EntryMessage;
import org.wagtailpin.store.wire.ListMessage;
import org.wagtailpin.store.wire.StoreMessages;
import org.wagtailpin.store.wire.StoreProtocol;

/**
 * Sends the HTTP response to one store request.
 *
 * <p>If the store failed to produce a result, the connection is closed without a response, so that
 * the client sees a lost connection.
 */
final class StoreReply {

  private static final StoreMessages MESSAGES = new StoreMessages();
  private static final byte[] NO_BODY = {};

  private final ChannelHandlerContext context;
  private final boolean keepAlive;
  private final LongSupplier era;

  StoreReply(ChannelHandlerContext context, boolean keepAlive, LongSupplier era) {
    this.context = context;
    this.keepAlive = keepAlive;
    this.era = era;
  }

  void sendRead(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      StoreEntry entry = found.entry();
      FullHttpResponse response = response(HttpResponseStatus.OK, entry.value());
      setNumber(response, StoreProtocol.STORE_REVISION_HEADER, found.storeRevision());
      setNumber(response, StoreProtocol.KEY_REVISION_HEADER, entry.revision());
      entry.lease().ifPresent(id -> response.headers().set(StoreProtocol.LEASE_HEADER, id.value()));
      send(response);
    } else if (result instanceof ReadResult.Absent absent) {
      FullHttpResponse response = response(HttpResponseStatus.NOT_FOUND, NO_BODY);
      setNumber(response, StoreProtocol.STORE_REVISION_HEADER, absent.storeRevision());
      send(response);
    } else {
      closeConnection();
    }
  }

  void sendList(ListResult result) {
    if (result instanceof ListResult.Listed listed) {
      List<EntryMessage> entries = listed.entries().stream().map(EntryMessage::of).toList();
      long revision = StoreRevision.bare(listed.storeRevision());
      ListMessage message = new ListMessage(entries, revision);
      send(
          withEra(
              response(HttpResponseStatus.OK, MESSAGES.write(message)), listed.storeRevision()));
    } else {
      closeConnection();
    }
  }

  void sendWrite(WriteResult result) {
    if (result instanceof WriteResult.Written written) {
      sendRevision(HttpResponseStatus.OK, written.revision());
    } else if (result instanceof WriteResult.Conflict conflict) {
      sendRevision(HttpResponseStatus.CONFLICT, conflict.currentRevision());
    } else if (result instanceof WriteResult.NotWritten notWritten) {
      sendRefusal(HttpResponseStatus.BAD_REQUEST, notWritten.fault().detail());
    } else {
      closeConnection();
    }
  }

  private void sendRevision(HttpResponseStatus status, long revision) {
    FullHttpResponse response = response(status, NO_BODY);
    setNumber(response, StoreProtocol.KEY_REVISION_HEADER, revision);
    send(response);
  }

  void sendLease(LeaseResult result) {
    if (result instanceof LeaseResult.Held held) {
      FullHttpResponse response = response(HttpResponseStatus.OK, NO_BODY);
      response.headers().set(StoreProtocol.LEASE_HEADER, held.lease().value());
      if (held.lease().era() > 0) {
        response.headers().set(StoreProtocol.ERA_HEADER, held.lease().era());
      }
      response.headers().set(StoreProtocol.TTL_PARAMETER, held.ttlMillis());
      send(response);
    } else if (result instanceof LeaseResult.Lapsed) {
      FullHttpResponse response = response(HttpResponseStatus.NOT_FOUND, NO_BODY);
      response.headers().set(StoreProtocol.STORE_REVISION_HEADER, 0);
      send(response);
    } else {
      closeConnection();
    }
  }

  void sendChanges(WatchResult result) {
    if (result instanceof WatchResult.Changed changed) {
      List<ChangeMessage> changes = changed.changes().stream().map(ChangeMessage::of).toList();
      long revision = StoreRevision.bare(changed.storeRevision());
      ChangesMessage message = new ChangesMessage(changes, revision);
      send(
          withEra(
              response(HttpResponseStatus.OK, MESSAGES.write(message)), changed.storeRevision()));
    } else if (result instanceof WatchResult.Compacted compacted) {
      FullHttpResponse response = response(HttpResponseStatus.GONE, NO_BODY);
      setNumber(response, StoreProtocol.STORE_REVISION_HEADER, compacted.storeRevision());
      send(response);
    } else {
      closeConnection();
    }
  }

  /** Sends an error response marked as a refusal: the call had no effect on the store. */
  void sendRefusal(HttpResponseStatus status, String detail) {
    FullHttpResponse response = response(status, detail.getBytes(UTF_8));
    response.headers().set(StoreProtocol.REFUSED_HEADER, "true");
    send(response);
  }

  void sendText(HttpResponseStatus status, String text) {
    send(response(status, text.getBytes(UTF_8)));
  }

  void closeConnection() {
    ChannelFuture unused = context.close();
  }

  private static void setNumber(FullHttpResponse response, String header, long number) {
    withEra(response, number).headers().set(header, StoreRevision.bare(number));
  }

  /** States the era of the content, since the store may be restored before the response is sent. */
  private static FullHttpResponse withEra(FullHttpResponse response, long number) {
    if (StoreRevision.era(number) > 0) {
      response.headers().set(StoreProtocol.ERA_HEADER, StoreRevision.era(number));
    }
    return response;
  }

  private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return response;
  }

  private void send(FullHttpResponse response) {
    if (!response.headers().contains(StoreProtocol.ERA_HEADER) && era.getAsLong() > 0) {
      response.headers().set(StoreProtocol.ERA_HEADER, era.getAsLong());
    }
    if (keepAlive) {
      ChannelFuture unused = context.writeAndFlush(response);
      return;
    }
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
