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

/** Writer of answers to one caller's connection, one after another; confined to its event loop. */
final class AnswerWriter implements AnswerSink {

  /** Told how answers end. */
  interface Owner {

    /** Tells whether the connection is to be kept after the answer. */
    boolean keepsConnection();

    /** Called when the answer was handed to the connection whole. */
    void answerEnded(ChannelFuture lastWrite);

    /** Called when the connection takes no more of the answer for now. */
    void answerBlocked();
  }

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
  private String requestId = "";

  AnswerWriter(Channel channel, AnswerEncoder encoder, Owner owner, HttpDialect dialect) {
    this.channel = channel;
    this.encoder = encoder;
    this.owner = owner;
    this.dialect = dialect;
    this.flush = this::flush;
  }

  /** Prepares for the answer to a request. */
  void begin(HttpRequest request) {
    answersHead = request.method().equals(HttpMethod.HEAD);
    http11 = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    requestId = "";
    chunked = false;
    encoder.setAnswersHead(answersHead);
  }

  /** Prepares for an answer to what is no whole request. */
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
    if (!bodyless && !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && http11 && !answersHead) {
      chunked = true;
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
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
    owner.answerEnded(channel.writeAndFlush(last));
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
    problem
        .retryAfterMillis()
        .ifPresent(millis -> headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(millis)));
    HttpUtil.setContentLength(answer, body.length);
    if (!owner.keepsConnection()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    owner.answerEnded(channel.writeAndFlush(answer));
  }

  /** RFC 9110 section 10.2.3 knows whole seconds only. */
  private String retryAfter(long millis) {
    return dialect.allowsFractionalRetryAfter()
        ? BigDecimal.valueOf(millis, MILLIS_SCALE).toPlainString()
        : Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }

  /** Ends the connection with a TCP reset, which no caller can take for the end of an answer. */
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
