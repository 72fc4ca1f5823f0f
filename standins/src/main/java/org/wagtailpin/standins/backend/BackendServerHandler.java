package org.wagtailpin.standins.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Handles one connection of a stand-in backend server, one request at a time. */
final class BackendServerHandler extends ChannelInboundHandlerAdapter {

  static final String ATTEMPT_HEADER = "Wagtailpin-Attempt";
  static final String LOAD_HEADER = "Wagtailpin-Load";
  static final String DEADLINE_HEADER = "Wagtailpin-Deadline-Millis";
  static final String REFUSED_HEADER = "Wagtailpin-Refused";
  static final String WORK_HEADER = "X-Work-Id";
  static final String PROBE_PATH = "/load";
  static final String ECHO_PATH = "/echo";
  static final String DEFAULT_WORK_ID = "unnamed";

  private static final double MICROS_PER_MILLI = 1000;
  private static final int MAX_PADDING_BYTES = 64 << 20;

  private final BackendServerStandIn server;
  private HttpRequest request;
  private long bodyBytes;
  private boolean echoing;
  private Runnable queuedWork;

  BackendServerHandler(BackendServerStandIn server) {
    this.server = server;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpRequest head) {
        readHead(context, head);
      }
      if (message instanceof HttpContent content) {
        readBody(context, content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(ChannelHandlerContext context, HttpRequest head) {
    request = head;
    bodyBytes = 0;
    if (HttpUtil.is100ContinueExpected(head)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    echoing = path().equals(ECHO_PATH);
    if (echoing) {
      server.countRequest();
      server.executionCounter().recordStart(workId());
      HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      HttpUtil.setTransferEncodingChunked(answer, true);
      addHeaders(answer);
      context.write(answer);
    }
  }

  private void readBody(ChannelHandlerContext context, HttpContent content) {
    bodyBytes += content.content().readableBytes();
    if (echoing) {
      echo(context, content);
    } else if (content instanceof LastHttpContent) {
      afterMillis(context, server.profile().networkDelayMillis(), () -> handleRequest(context));
    }
  }

  private static void echo(ChannelHandlerContext context, HttpContent content) {
    // Pauses reading while the peer does not read the answer, so the body is not buffered.
    context.writeAndFlush(content.retain());
    context.channel().config().setAutoRead(context.channel().isWritable());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    context.channel().config().setAutoRead(context.channel().isWritable());
    context.fireChannelWritabilityChanged();
  }

  private void handleRequest(ChannelHandlerContext context) {
    if (path().equals(PROBE_PATH)) {
      server.countProbe();
      afterMillis(
          context,
          server.profile().probeDelayMillis(),
          () -> answer(context, HttpResponseStatus.OK));
      return;
    }
    server.countRequest();
    if (server.faults().leaving()) {
      refuse(context);
    } else if (server.faults().failFast()) {
      answer(context, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      enqueue(context);
    }
  }

  private void enqueue(ChannelHandlerContext context) {
    long deadlineMillis = deadlineMillis();
    Runnable work = () -> context.executor().execute(() -> startWork(context, deadlineMillis));
    queuedWork = work;
    if (!server.slots().submit(work)) {
      queuedWork = null;
      refuse(context);
    }
  }

  private long deadlineMillis() {
    String remainingMillis = request.headers().get(DEADLINE_HEADER);
    return remainingMillis == null
        ? Long.MAX_VALUE
        : server.clock().millis() + Long.parseLong(remainingMillis);
  }

  private void startWork(ChannelHandlerContext context, long deadlineMillis) {
    queuedWork = null;
    boolean expired = server.clock().millis() >= deadlineMillis;
    if (expired || !context.channel().isActive()) {
      server.slots().releaseSlot();
      refuse(context);
      return;
    }
    server.executionCounter().recordStart(workId());
    double serviceMillis = server.nextServiceMillis(requestFactor());
    afterMillis(context, serviceMillis, () -> finishWork(context));
  }

  private void finishWork(ChannelHandlerContext context) {
    server.slots().releaseSlot();
    if (server.faults().closeWithoutAnswer()) {
      context.close();
      return;
    }
    answer(context, HttpResponseStatus.OK);
  }

  private void refuse(ChannelHandlerContext context) {
    server.countRefusal();
    FullHttpResponse refusal = fullAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused\n");
    refusal.headers().set(REFUSED_HEADER, "not-run");
    send(context, refusal);
  }

  private void answer(ChannelHandlerContext context, HttpResponseStatus status) {
    String body =
        "{\"server\":\"%s\",\"work\":\"%s\",\"bytes\":%d}%s\n"
            .formatted(server.profile().name(), workId(), bodyBytes, " ".repeat(paddingBytes()));
    send(context, fullAnswer(status, body));
  }

  private FullHttpResponse fullAnswer(HttpResponseStatus status, String body) {
    ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    HttpUtil.setContentLength(answer, bytes.readableBytes());
    addHeaders(answer);
    return answer;
  }

  private void addHeaders(HttpResponse answer) {
    String attempt = request.headers().get(ATTEMPT_HEADER);
    if (attempt != null) {
      answer.headers().set(ATTEMPT_HEADER, server.faults().wrongAttemptId() ? "0" : attempt);
    }
    answer.headers().set(LOAD_HEADER, loadReport());
  }

  private String loadReport() {
    ServerFaults faults = server.faults();
    int running = faults.reportsIdle() ? 0 : server.slots().running();
    int queuedCount = faults.reportsIdle() ? 0 : server.slots().queued();
    String leavingSuffix = faults.leaving() ? ", leaving" : "";
    return "inflight=" + running + ", queued=" + queuedCount + leavingSuffix;
  }

  private void send(ChannelHandlerContext context, FullHttpResponse answer) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    afterMillis(
        context,
        server.profile().networkDelayMillis(),
        () -> {
          if (server.faults().truncateAnswers()) {
            sendTruncated(context, answer);
            return;
          }
          if (keepAlive) {
            context.writeAndFlush(answer);
          } else {
            HttpUtil.setKeepAlive(answer, false);
            context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
          }
        });
  }

  private static void sendTruncated(ChannelHandlerContext context, FullHttpResponse answer) {
    HttpResponse head =
        new DefaultHttpResponse(answer.protocolVersion(), answer.status(), answer.headers());
    context.write(head);
    context
        .writeAndFlush(
            new DefaultHttpContent(
                answer.content().readSlice(answer.content().readableBytes() / 2)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static void afterMillis(ChannelHandlerContext context, double millis, Runnable task) {
    if (millis <= 0) {
      task.run();
      return;
    }
    long micros = Math.round(millis * MICROS_PER_MILLI);
    context.executor().schedule(task, micros, TimeUnit.MICROSECONDS);
  }

  private String path() {
    return new QueryStringDecoder(request.uri()).path();
  }

  private String workId() {
    String id = request.headers().get(WORK_HEADER);
    return id == null ? DEFAULT_WORK_ID : id;
  }

  /** Returns the service time factor from the query parameter {@code factor}; 1 if absent. */
  private double requestFactor() {
    String value = parameter("factor");
    return value.isEmpty() ? 1 : Double.parseDouble(value);
  }

  /** Returns the padding of the answer from the query parameter {@code size}; 0 if absent. */
  private int paddingBytes() {
    String value = parameter("size");
    return value.isEmpty() ? 0 : Math.min(Integer.parseInt(value), MAX_PADDING_BYTES);
  }

  private String parameter(String name) {
    List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
    return values == null ? "" : values.get(0);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    // Closing the connection cancels the request that is still queued.
    if (queuedWork != null && server.slots().cancel(queuedWork)) {
      queuedWork = null;
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
