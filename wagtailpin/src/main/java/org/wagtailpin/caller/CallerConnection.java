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
 * One connection of a caller: its requests, one at a time and answered in their order.
 *
 * <p>It reads only when it needs more, so what a caller sends ahead waits in the sockets, but for
 * the messages of the last read.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerWriter.Owner {

  /** Event that asks a connection to end as soon as it is idle. */
  static final Object DRAIN = new Object();

  private final ListenerContext listener;
  private final AnswerEncoder encoder;
  private final Queue<Object> sentAhead = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private AnswerWriter writer;
  private ConnectionTimer timer;
  private Optional<Call> call = Optional.empty();
  private Optional<RequestBodyReader> body = Optional.empty();
  private boolean requestDone = true;
  private boolean answerDone = true;
  private boolean keepAlive = true;
  private boolean lingering;
  private boolean inBatch;
  private boolean readWanted;
  private long discardedBytes;

  CallerConnection(ListenerContext listener, AnswerEncoder encoder) {
    this.listener = listener;
    this.encoder = encoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    Channel channel = ctx.channel();
    writer = new AnswerWriter(channel, encoder, this, listener.environment().dialect());
    timer = new ConnectionTimer(channel.eventLoop(), listener.environment().clock());
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (listener.connections().get() > listener.limits().maxConnections()) {
      ctx.close();
      return;
    }
    awaitRequest();
  }

  private void awaitRequest() {
    timer.set(listener.idleMillis(), context::close);
    read();
  }

  /** Called by the decoder when a head has begun but not ended. */
  void headBegan() {
    if (answerDone && requestDone && !lingering) {
      timer.set(listener.headTimeoutMillis(), this::headTimedOut);
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
    inBatch = true;
    if (!sentAhead.isEmpty() || answering()) {
      sentAhead.add(message);
    } else {
      take(message);
    }
  }

  private boolean answering() {
    return requestDone && !answerDone;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    inBatch = false;
    if (readWanted) {
      readWanted = false;
      ctx.read();
    }
    ctx.fireChannelReadComplete();
  }

  /** Asks for more bytes, once the messages in the present ones are dealt with. */
  private void read() {
    if (inBatch) {
      readWanted = true;
    } else {
      context.read();
    }
  }

  private void take(Object message) {
    try {
      if (lingering) {
        read();
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
            && !listener.draining();
    writer.begin(head);
    boolean continues = HttpUtil.is100ContinueExpected(head);
    boolean decoded = head.decoderResult().isSuccess();
    long length = decoded ? HttpUtil.getContentLength(head, -1L) : -1;
    RequestHead read =
        listener.heads().read(head, (InetSocketAddress) context.channel().remoteAddress());
    if (read instanceof RequestHead.Sound sound) {
      admit(sound.request(), length, continues);
    } else if (read instanceof RequestHead.Unsound unsound) {
      keepAlive = false;
      refuse(Optional.empty(), unsound.problem());
    }
  }

  private void admit(IncomingRequest request, long length, boolean continues) {
    writer.identify(request.id());
    CallAdmission admission = listener.admit(request, length);
    if (admission instanceof CallAdmission.Admitted admitted) {
      start(request, admitted, length, continues);
    } else if (admission instanceof CallAdmission.Refused refused) {
      // A caller that waits for leave to send its body may never send it, and a long one is not
      // read to its end.
      boolean tooLong = refused.problem().status() == RequestProblems.CONTENT_TOO_LARGE;
      keepAlive = keepAlive && !continues && !tooLong;
      refuse(Optional.of(request.id()), refused.problem());
    }
  }

  private void refuse(Optional<String> request, Problem problem) {
    listener.environment().unread(request, problem);
    writer.problem(problem);
  }

  private void start(
      IncomingRequest request, CallAdmission.Admitted admitted, long length, boolean continues) {
    listener.calls().incrementAndGet();
    call =
        Optional.of(
            new Call(
                listener.environment(), request, admitted, writer, context.channel().eventLoop()));
    body =
        Optional.of(
            new RequestBodyReader(listener.environment().settings(), length, this::bodyDrained));
    if (continues) {
      writer.askForBody();
    }
    readOn();
  }

  private void readContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      requestDone = true;
      breakRequest(RequestProblems.BAD_REQUEST, "the request's body is not valid HTTP");
      return;
    }
    if (call.isPresent()) {
      pass(content);
    } else {
      discardedBytes += content.content().readableBytes();
    }
    if (content instanceof LastHttpContent) {
      requestEnded();
    } else if (!requestDone) {
      readOn();
    }
  }

  private void pass(HttpContent content) {
    Call current = call.get();
    RequestBodyReader reader = body.get();
    reader.add(content.content()).ifPresent(current::begin);
    if (reader.received() > listener.maxBodyBytes()) {
      breakRequest(RequestProblems.CONTENT_TOO_LARGE, "the request's body is too long");
    } else if (content instanceof LastHttpContent) {
      reader.end().ifPresent(current::begin);
    }
  }

  private void requestEnded() {
    requestDone = true;
    if (answerDone) {
      nextRequest();
    } else {
      timer.clear();
      // Reading goes on, so that a caller that leaves is noticed.
      read();
    }
  }

  private void readOn() {
    if (lingering) {
      return;
    }
    if (call.isEmpty() && discardedBytes > listener.limits().discardBytes()) {
      linger();
      return;
    }
    if (call.isPresent() && !body.get().takesMore()) {
      timer.clear();
      return;
    }
    timer.set(listener.limits().bodyStallMillis(), this::bodyStalled);
    read();
  }

  private void bodyDrained() {
    if (context.executor().inEventLoop()) {
      readDrained();
    } else {
      context.executor().execute(this::readDrained);
    }
  }

  private void readDrained() {
    if (body.isPresent() && body.get().claimDrain()) {
      readOn();
    }
  }

  private void bodyStalled() {
    if (answerDone) {
      context.close();
    } else {
      breakRequest(RequestProblems.REQUEST_TIMEOUT, "the request's body did not come in time");
    }
  }

  private void breakRequest(int status, String detail) {
    keepAlive = false;
    body.ifPresent(RequestBodyReader::abort);
    if (call.isPresent()) {
      call.get().requestBroke(status, RequestProblems.fault(detail));
    } else if (answerDone) {
      linger();
    }
  }

  @Override
  public boolean keepsConnection() {
    keepAlive = keepAlive && !listener.draining();
    return keepAlive;
  }

  @Override
  public void answerHeldBack() {
    timer.set(listener.limits().answerStallMillis(), writer::reset);
  }

  @Override
  public void answerEnded(ChannelFuture lastWrite) {
    answerDone = true;
    endCall();
    if (!keepAlive) {
      timer.set(listener.limits().answerStallMillis(), context::close);
      lastWrite.addListener(written -> linger());
    } else if (requestDone) {
      nextRequest();
    } else {
      readOn();
    }
  }

  private void endCall() {
    if (call.isPresent()) {
      listener.calls().decrementAndGet();
      call = Optional.empty();
    }
    body.ifPresent(RequestBodyReader::abort);
    body = Optional.empty();
  }

  private void nextRequest() {
    if (lingering || !keepAlive) {
      return;
    }
    timer.set(listener.idleMillis(), context::close);
    if (listener.draining()) {
      closeWhenQuiet();
    }
    if (sentAhead.isEmpty()) {
      read();
    } else {
      context.executor().execute(this::takeSentAhead);
    }
  }

  private void takeSentAhead() {
    while (!sentAhead.isEmpty() && !answering()) {
      take(sentAhead.poll());
    }
  }

  /** Ends the connection so that the caller can still read its last answer. */
  private void linger() {
    if (lingering || !context.channel().isActive()) {
      return;
    }
    lingering = true;
    timer.set(listener.limits().lingerMillis(), context::close);
    // RFC 9112 section 9.6: closing with unread input would reset the answer away.
    ((DuplexChannel) context.channel()).shutdownOutput();
    read();
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
      closeWhenQuiet();
    }
    ctx.fireUserEventTriggered(event);
  }

  private void closeWhenQuiet() {
    timer.set(listener.limits().lingerMillis(), context::close);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    timer.stop();
    call.ifPresent(Call::callerLeft);
    endCall();
    while (!sentAhead.isEmpty()) {
      ReferenceCountUtil.release(sentAhead.poll());
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Logger.error(cause, "a caller's connection failed");
    }
    ctx.close();
  }
}
