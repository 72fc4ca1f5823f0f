package org.wagtailpin.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.eventlog.NoOpEventLog;
import org.wagtailpin.transport.HttpDialect;

class BackendConnectionHandlerTest {

  /** Ignores the answer; the tests look at what the connection passes on. */
  private static final class NoListener implements ExchangeListener {
    @Override
    public void head(AnswerHead head) {}

    @Override
    public void part(ByteBuf part) {
      part.release();
    }

    @Override
    public void end(HttpHeaders trailers) {}

    @Override
    public void failed(ExchangeFailure failure) {}
  }

  /** Counts what the connection passes on. */
  private static final class Recorder extends ChannelInboundHandlerAdapter {
    private int ends;
    private int failures;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ends += message instanceof LastHttpContent ? 1 : 0;
      ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      failures++;
    }
  }

  /** Fails writes once it is told to. */
  private static final class Wire extends ChannelOutboundHandlerAdapter {
    private boolean broken;

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      if (broken) {
        promise.setFailure(new IOException("Broken pipe"));
      } else {
        promise.setSuccess();
      }
    }
  }

  /** Plays an answer without a length that comes before the end of its request. */
  private static Recorder answerWithoutLength(boolean breaks) {
    Wire wire = new Wire();
    Recorder recorder = new Recorder();
    SystemClock clock = new SystemClock();
    BackendConnectionHandler connection =
        new BackendConnectionHandler(
            clock, new UnmatchedAnswers(new NoOpEventLog(), clock, HttpDialect.standard()));
    EmbeddedChannel channel =
        new EmbeddedChannel(
            wire,
            new CombinedChannelDuplexHandler<>(
                new AnswerDecoder(connection, BackendSettings.defaults()),
                new HttpRequestEncoder()),
            connection,
            recorder);
    connection.attach(channel);
    ServerConnections connections = new ServerConnections("s1");
    connection.assign(
        new BackendExchange(
            BackendRequest.probe(
                new ConfigServer("s1", "127.0.0.1", 1, "r", "d", 6, 100, false),
                "POST",
                "/x",
                new DefaultHttpHeaders()),
            connections,
            channel.eventLoop(),
            new NoListener(),
            HttpDialect.standard()),
        connections);
    DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
    head.headers().set("Content-Length", 9);
    channel.writeAndFlush(head);
    channel.writeInbound(
        Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\nhalf", StandardCharsets.US_ASCII));
    wire.broken = breaks;
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[3])));
    channel.close();
    return recorder;
  }

  // Guards against a part of an answer as a whole one: the close of a connection after a failed
  // write was taken for the end of an answer without a length.
  @Test
  void anAnswerWithoutALengthDoesNotEndWhereAWriteFails() {
    Recorder recorder = answerWithoutLength(true);

    assertThat(recorder.ends).isEqualTo(0);
    assertThat(recorder.failures).isEqualTo(1);
  }

  @Test
  void anAnswerWithoutALengthEndsWithItsConnection() {
    Recorder recorder = answerWithoutLength(false);

    assertThat(recorder.ends).isEqualTo(1);
    assertThat(recorder.failures).isEqualTo(0);
  }
}
