package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.routing.LoadProbe;
import org.wagtailpin.routing.ProbeAnswer;
import org.wagtailpin.transport.HttpDialect;

/** Load probe that uses the same connection pool as the requests of callers. Thread-safe. */
public final class BackendLoadProbe implements LoadProbe {

  private final BackendClient client;
  private final EventLoopGroup loops;
  private final HttpDialect dialect;
  private final long timeoutMillis;

  /**
   * Creates a probe.
   *
   * @param client sends the probes
   * @param loops the event loops, from {@link org.wagtailpin.transport.EventLoops#createAffine}
   * @param dialect the header names and HTTP conventions of the backend servers
   * @param timeoutMillis the time after which a probe without an answer ends, in milliseconds
   */
  public BackendLoadProbe(
      BackendClient client, EventLoopGroup loops, HttpDialect dialect, long timeoutMillis) {
    this.client = client;
    this.loops = loops;
    this.dialect = dialect;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public void probe(ConfigServer server, String path, Consumer<ProbeAnswer> done) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.HOST, server.address() + ":" + server.port());
    BackendRequest request = BackendRequest.probe(server, HttpMethod.GET.name(), path, headers);
    PendingProbe pending = new PendingProbe(server, done);
    var loop = loops.next();
    BackendExchange exchange = client.send(request, loop, pending);
    var unused =
        loop.schedule(
            () -> {
              if (!pending.ended) {
                exchange.cancel();
                pending.end();
              }
            },
            timeoutMillis,
            TimeUnit.MILLISECONDS);
  }

  /** Listener of one probe in flight. Confined to its event loop. */
  private final class PendingProbe implements ExchangeListener {
    private final ConfigServer server;
    private final Consumer<ProbeAnswer> done;
    private ProbeAnswer answer = ProbeAnswer.none();
    private boolean ended;

    PendingProbe(ConfigServer server, Consumer<ProbeAnswer> done) {
      this.server = server;
      this.done = done;
    }

    private void end() {
      if (!ended) {
        ended = true;
        done.accept(answer);
      }
    }

    @Override
    public void head(AnswerHead head) {
      // The address may have been reassigned to another server, whose load must not be reported.
      String instance = dialect.instance().map(name -> head.headers().get(name)).orElse(null);
      if (instance == null || instance.equals(server.name())) {
        answer =
            new ProbeAnswer(
                head.load(),
                head.limit(),
                SlowStartHeader.read(head.status(), head.headers(), dialect.slowStart()));
      }
    }

    @Override
    public void part(ByteBuf part) {
      part.release();
    }

    @Override
    public void end(HttpHeaders trailers) {
      end();
    }

    @Override
    public void failed(ExchangeFailure failure) {
      end();
    }
  }
}
