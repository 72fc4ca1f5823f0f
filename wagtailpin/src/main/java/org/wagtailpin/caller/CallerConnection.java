package org.wagtailpin.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.tinylog.Logger;
import org.wagtailpin.call.Call;
import org.wagtailpin.call.CallAdmission;
import org.wagtailpin.call.IncomingRequest;
import org.wagtailpin.call.Problem;

/**
 * Handler of one caller connection: processes its requests one at a time and answers them in order.
 *
 * <p>Automatic reading is off, and the handler requests a read only when it needs more input.
 * Pipelined requests therefore stay in the socket buffers, except for messages decoded from the
 * last read, which are queued. Confined to the event loop of the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerWriter.Owner {

  /** User event that makes a connection close as soon as it is idle. */
  static final Object DRAIN = new Object();

  private final ListenerContext listenerContext;
  private final AnswerEncoder encoder;
  private final Queue<Object> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private AnswerWriter writer;
  private ConnectionTimer timer;
  private Optional<Call> call = Optional.empty();
  private Optional<RequestBodyReader> body = Optional.empty();
  private boolean requestDone = true;
  private boolean answerDone = true;
  private boolean keepAlive = true;
  private boolean lingering;
  private boolean inReadBatch;
  private boolean readDeferred;
  private long discardedBytes;

  CallerConnection(ListenerContext listenerContext, AnswerEncoder encoder) {
    this.listenerContext = listenerContext;
    this.encoder = encoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    Channel channel = ctx.channel();
    writer = new AnswerWriter(channel, encoder, this, listenerContext.environment().dialect());
    timer = new ConnectionTimer(channel.eventLoop(), listenerContext.environment().clock());
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (listenerContext.connectionCount().get() > listenerContext.limits().maxConnections()) {
      ctx.close();
      return;
    }
    timer.set(idleTimeoutMillis(), context::close);
    requestRead();
  }

  private long idleTimeoutMillis() {
    return listenerContext.draining()
        ? listenerContext.limits().lingerMillis()
        : listenerContext.idleTimeoutMillis();
  }

  /** Called by the decoder when it has received the start of a head, but not yet its end. */
  void headStarted() {
    if (answerDone && requestDone && !lingering) {
      timer.set(listenerContext.headTimeoutMillis(), this::headTimedOut);
    }
  }

  private void headTimedOut() {
    answerDone = false;
    keepAlive = false;
    writer.beginWithoutRequest();
    refuse(Optional.empty(), RequestProblems.headTooLate());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    inReadBatch = true;
    if (!pipelined.isEmpty() || awaitingAnswer()) {
      pipelined.add(message);
    } else {
      process(message);
    }
  }

  private boolean awaitingAnswer() {
    return requestDone && !answerDone;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    inReadBatch = false;
    if (readDeferred) {
      readDeferred = false;
      ctx.read();
    }
    ctx.fireChannelReadComplete();
  }

  /** Requests a read; during a read, it is deferred until the decoded messages are processed. */
  private void requestRead() {
    if (inReadBatch) {
      readDeferred = true;
    } else {
      context.read();
    }
  }

  private void process(Object message) {
    try {
      if (lingering) {
        requestRead();
        return;
      }
      if (message instanceof HttpRequest head) {
        readHead(head);
      }
      if (message instanceof HttpContent content && !requestDone) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpRequest head) {
    requestDone = false;
    answerDone = false;
    discardedBytes = 0;
    timer.clear();
    keepAlive =
        HttpUtil.isKeepAlive(head)
            && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
            && !listenerContext.draining();
    writer.begin(head);
    boolean expectsContinue = HttpUtil.is100ContinueExpected(head);
    boolean decoded = head.decoderResult().isSuccess();
    long length = decoded ? HttpUtil.getContentLength(head, -1L) : -1;
    RequestHead read =
        listenerContext
            .headReader()
            .read(head, (InetSocketAddress) context.channel().remoteAddress());
    if (read instanceof RequestHead.Valid valid) {
      admit(valid.request(), length, expectsContinue);
    } else if (read instanceof RequestHead.Invalid invalid) {
      keepAlive = false;
      refuse(Optional.empty(), invalid.problem());
    }
  }

  private void admit(IncomingRequest request, long length, boolean expectsContinue) {
    writer.setRequestId(request.id());
    CallAdmission admission = listenerContext.admit(request, length);
    if (admission instanceof CallAdmission.Admitted admitted) {
      startCall(request, admitted, length, expectsContinue);
    } else if (admission instanceof CallAdmission.Refused refused) {
      // The connection cannot be reused: a caller that waits for 100 Continue may never send its
      // body, and a body that is too long is not read to its end.
      boolean tooLong = refused.problem().status() == RequestProblems.CONTENT_TOO_LARGE;
      boolean leaving = listenerContext.endAnnounced();
      keepAlive = keepAlive && !expectsContinue && !tooLong && !leaving;
      refuse(Optional.of(request.id()), refused.problem());
    }
  }

  private void refuse(Optional<String> request, Problem problem) {
    listenerContext.environment().recordUnreadRequest(request, problem);
    writer.problem(problem);
  }

  private void startCall(
      IncomingRequest request,
      CallAdmission.Admitted admitted,
      long length,
      boolean expectsContinue) {
    listenerContext.callCount().incrementAndGet();
    call =
        Optional.of(
            new Call(
                listenerContext.environment(),
                request,
                admitted,
                writer,
                context.channel().eventLoop()));
    body =
        Optional.of(
            new RequestBodyReader(
                listenerContext.environment().settings(), length, this::bodyDrained));
    if (expectsContinue) {
      writer.sendContinue();
    }
    continueReading();
  }

  private void readContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      requestDone = true;
      failRequest(RequestProblems.BAD_REQUEST, "the request's body is not valid HTTP");
      return;
    }
    if (call.isPresent()) {
      passToCall(content);
    } else {
      discardedBytes += content.content().readableBytes();
    }
    if (content instanceof LastHttpContent) {
      requestEnded();
    } else if (!requestDone) {
      continueReading();
    }
  }

  private void passToCall(HttpContent content) {
    Call current = call.get();
    RequestBodyReader reader = body.get();
    reader.add(content.content()).ifPresent(current::begin);
    if (reader.received() > listenerContext.maxBodyBytes()) {
      failRequest(RequestProblems.CONTENT_TOO_LARGE, "the request's body is too long");
    } else if (content instanceof LastHttpContent) {
      reader.finish().ifPresent(current::begin);
    }
  }

  private void requestEnded() {
    requestDone = true;
    if (answerDone) {
      nextRequest();
    } else {
      timer.clear();
      // Keep reading, so that a disconnect of the caller is detected.
      requestRead();
    }
  }

  private void continueReading() {
    if (lingering) {
      return;
    }
    if (call.isEmpty() && discardedBytes > listenerContext.limits().maxDiscardedBytes()) {
      linger();
      return;
    }
    if (call.isPresent() && !body.get().acceptsMore()) {
      timer.clear();
      return;
    }
    timer.set(listenerContext.limits().bodyStallTimeoutMillis(), this::bodyStalled);
    requestRead();
  }

  private void bodyDrained() {
    if (context.executor().inEventLoop()) {
      resumeBodyReading();
    } else {
      context.executor().execute(this::resumeBodyReading);
    }
  }

  private void resumeBodyReading() {
    if (body.isPresent() && body.get().clearAwaitingDrain()) {
      continueReading();
    }
  }

  private void bodyStalled() {
    if (answerDone) {
      context.close();
    } else {
      failRequest(RequestProblems.REQUEST_TIMEOUT, "the request's body did not come in time");
    }
  }

  private void failRequest(int status, String detail) {
    keepAlive = false;
    body.ifPresent(RequestBodyReader::abort);
    if (call.isPresent()) {
      call.get().requestFailed(status, RequestProblems.fault(detail));
    } else if (answerDone) {
      linger();
    }
  }

  @Override
  public boolean keepsConnection() {
    keepAlive = keepAlive && !listenerContext.draining();
    return keepAlive;
  }

  @Override
  public void answerBlocked() {
    timer.set(listenerContext.limits().answerStallTimeoutMillis(), writer::reset);
  }

  @Override
  public void answerEnded(ChannelFuture lastWrite) {
    answerDone = true;
    endCall();
    if (!keepAlive) {
      timer.set(listenerContext.limits().answerStallTimeoutMillis(), context::close);
      lastWrite.addListener(written -> linger());
    } else if (requestDone) {
      nextRequest();
    } else {
      continueReading();
    }
  }

  private void endCall() {
    if (call.isPresent()) {
      listenerContext.callCount().decrementAndGet();
      call = Optional.empty();
    }
    body.ifPresent(RequestBodyReader::abort);
    body = Optional.empty();
  }

  private void nextRequest() {
    if (lingering || !keepAlive) {
      return;
    }
    timer.set(idleTimeoutMillis(), context::close);
    if (pipelined.isEmpty()) {
      requestRead();
    } else {
      context.executor().execute(this::processPipelined);
    }
  }

  private void processPipelined() {
    while (!pipelined.isEmpty() && !awaitingAnswer()) {
      process(pipelined.poll());
    }
  }

  /** Closes the connection in two steps, so that the caller can still read its last answer. */
  private void linger() {
    if (lingering || !context.channel().isActive()) {
      return;
    }
    lingering = true;
    timer.set(listenerContext.limits().lingerMillis(), context::close);
    // RFC 9112 section 9.6: closing with unread input causes a TCP reset, which can discard the
    // answer before the caller has read it.
    ((DuplexChannel) context.channel()).shutdownOutput();
    requestRead();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable() && call.isPresent()) {
      timer.clear();
      call.get().callerWritable();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == DRAIN && answerDone && requestDone) {
      scheduleDrainClose();
    }
    ctx.fireUserEventTriggered(event);
  }

  private void scheduleDrainClose() {
    timer.set(listenerContext.limits().lingerMillis(), context::close);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    timer.stop();
    call.ifPresent(Call::callerDisconnected);
    endCall();
    while (!pipelined.isEmpty()) {
      ReferenceCountUtil.release(pipelined.poll());
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Logger.error(cause, "unexpected exception on a caller's connection; closing it");
    }
    ctx.close();
  }
}
