package org.wagtailpin.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.math.BigDecimal;
import org.wagtailpin.call.AnswerSink;
import org.wagtailpin.call.Problem;
import org.wagtailpin.call.ProblemBody;
import org.wagtailpin.transport.EndToEndHeaders;
import org.wagtailpin.transport.HttpDialect;
import org.wagtailpin.transport.WagtailpinHeaders;

/**
 * Writes the answers to one caller's connection, one after another. Flushes are combined per run of
 * the event loop. Confined to the event loop of the connection.
 */
final class AnswerWriter implements AnswerSink {

  /** The connection to which the answers are written. */
  interface Owner {

    /** Returns whether the connection stays open after the current answer. */
    boolean keepsConnection();

    /** Called when the last part of the answer was passed to the channel. */
    void answerEnded(ChannelFuture lastWrite);

    /** Called when the channel accepts no more bytes of the answer for now. */
    void answerBlocked();
  }

  private static final int LINGER_DISABLED = -1;
  private static final int MILLIS_SCALE = 3;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Channel channel;
  private final AnswerEncoder encoder;
  private final Owner owner;
  private final HttpDialect dialect;
  private final Runnable flush;
  private boolean flushPending;
  private boolean answersHead;
  private boolean http11;
  private boolean chunked;
  private boolean endsWithConnection;
  private String requestId = "";

  AnswerWriter(Channel channel, AnswerEncoder encoder, Owner owner, HttpDialect dialect) {
    this.channel = channel;
    this.encoder = encoder;
    this.owner = owner;
    this.dialect = dialect;
    this.flush = this::flush;
  }

  /** Resets the writer for the answer to a request. */
  void begin(HttpRequest request) {
    answersHead = request.method().equals(HttpMethod.HEAD);
    http11 = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    requestId = "";
    chunked = false;
    endsWithConnection = false;
    encoder.setAnswersHead(answersHead);
  }

  /** Resets the writer for an answer to an incomplete request head. */
  void beginWithoutRequest() {
    answersHead = false;
    requestId = "";
    encoder.setAnswersHead(false);
  }

  void setRequestId(String id) {
    requestId = id;
  }

  @Override
  public void head(int status, HttpHeaders headers) {
    setFraming(status, headers);
    if (!owner.keepsConnection()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    write(
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
  }

  private void setFraming(int status, HttpHeaders headers) {
    boolean bodyless =
        status == HttpResponseStatus.NO_CONTENT.code()
            || status == HttpResponseStatus.NOT_MODIFIED.code();
    if (status == HttpResponseStatus.NO_CONTENT.code()) {
      // RFC 9110 section 8.6: no Content-Length with 204.
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    boolean unframed =
        !bodyless && !answersHead && !headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    chunked = unframed && http11;
    endsWithConnection = unframed && !http11;
    if (chunked) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    if (endsWithConnection && channel.isActive()) {
      // Whatever closes the connection before the answer has ended resets it.
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
  }

  private void answerWritten(boolean whole) {
    if (whole && endsWithConnection && channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, LINGER_DISABLED);
    }
  }

  @Override
  public boolean part(ByteBuf part) {
    write(new DefaultHttpContent(part));
    if (!channel.isWritable()) {
      flush();
    }
    if (channel.isWritable()) {
      return true;
    }
    owner.answerBlocked();
    return false;
  }

  @Override
  public void end(HttpHeaders trailers) {
    LastHttpContent last = LastHttpContent.EMPTY_LAST_CONTENT;
    if (chunked && !trailers.isEmpty()) {
      EndToEndHeaders.retain(trailers);
      last = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
      last.trailingHeaders().set(trailers);
    }
    ChannelFuture lastWrite = channel.writeAndFlush(last);
    lastWrite.addListener(written -> answerWritten(written.isSuccess()));
    owner.answerEnded(lastWrite);
  }

  @Override
  public void problem(Problem problem) {
    byte[] body = ProblemBody.write(problem, requestId);
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(problem.status()),
            Unpooled.wrappedBuffer(body));
    HttpHeaders headers = answer.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, ProblemBody.MEDIA_TYPE);
    headers.set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
    headers.set(WagtailpinHeaders.OUTCOME, problem.outcome().label());
    if (!requestId.isEmpty()) {
      headers.set(dialect.requestId(), requestId);
    }
    if (problem.status() == HttpResponseStatus.UNAUTHORIZED.code()) {
      // RFC 9110 section 15.5.2 requires a challenge. No registered scheme describes a key header.
      headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "ApiKey");
    }
    problem
        .retryAfterMillis()
        .ifPresent(millis -> headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(millis)));
    HttpUtil.setContentLength(answer, body.length);
    if (!owner.keepsConnection()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    owner.answerEnded(channel.writeAndFlush(answer));
  }

  /**
   * Formats a retry delay. RFC 9110 section 10.2.3 allows whole seconds only, so the delay is
   * rounded up unless the dialect allows fractions.
   */
  private String retryAfter(long millis) {
    return dialect.allowsFractionalRetryAfter()
        ? BigDecimal.valueOf(millis, MILLIS_SCALE).toPlainString()
        : Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }

  /**
   * Closes the connection with a TCP reset, which a caller cannot mistake for a complete answer.
   */
  @Override
  public void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  void sendContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  private void write(Object message) {
    channel.write(message, channel.voidPromise());
    if (!flushPending) {
      flushPending = true;
      channel.eventLoop().execute(flush);
    }
  }

  private void flush() {
    flushPending = false;
    channel.flush();
  }
}
