package org.wagtailpin.operator;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Map;
import org.tinylog.Logger;

/** Handles the HTTP requests of one connection to the admin listener. */
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int INTERNAL_SERVER_ERROR = 500;

  private final Map<String, AdminPage> pages;

  AdminHandler(Map<String, AdminPage> pages) {
    this.pages = pages;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    AdminAnswer answer = answer(request);
    boolean head = request.method().equals(HttpMethod.HEAD);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            head ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    send(context, response, HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess());
  }

  private AdminAnswer answer(FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      return AdminAnswer.text(BAD_REQUEST, "not an HTTP request\n");
    }
    AdminPage page = pages.get(new QueryStringDecoder(request.uri()).path());
    if (page == null) {
      return AdminAnswer.text(NOT_FOUND, "pages: " + String.join(" ", pages.keySet()) + "\n");
    }
    if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
      return AdminAnswer.text(METHOD_NOT_ALLOWED, "GET or HEAD only\n");
    }
    try {
      return page.answer();
    } catch (RuntimeException e) {
      Logger.error(e, "admin page {} failed", page.path());
      return AdminAnswer.text(INTERNAL_SERVER_ERROR, "the page failed: " + e.getMessage() + "\n");
    }
  }

  private static void send(
      ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
    if (keepAlive) {
      ChannelFuture unused = context.writeAndFlush(response);
      return;
    }
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    ChannelFuture unused = context.close();
  }
}
