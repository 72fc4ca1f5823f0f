package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import org.wagtailpin.config.ConfigServer;

/** A grant that reports the end of its attempt once; later reports are ignored. */
final class ServerGrant implements Grant {

  /** Receives the end of an attempt. */
  interface EndListener {
    void attemptEnded(
        ServiceState service, ServerState server, QueuedCall call, AttemptReport report);
  }

  private final ServiceState service;
  private final ServerState server;
  private final ConfigServer configServer;
  private final QueuedCall call;
  private final UnansweredRequests unanswered;
  private final EndListener endListener;
  private final AtomicBoolean unfinished = new AtomicBoolean(true);

  ServerGrant(
      ServiceState service,
      ServerState server,
      QueuedCall call,
      UnansweredRequests unanswered,
      EndListener endListener) {
    this.service = service;
    this.server = server;
    this.configServer = server.server();
    this.call = call;
    this.unanswered = unanswered;
    this.endListener = endListener;
  }

  @Override
  public ConfigServer server() {
    return configServer;
  }

  @Override
  public double silenceMillis() {
    return unanswered.silenceMillis(service, server, call.call().route().name());
  }

  @Override
  public void unanswered() {
    unanswered.recordSilence(server);
  }

  @Override
  public void finished(AttemptReport report) {
    if (unfinished.compareAndSet(true, false)) {
      endListener.attemptEnded(service, server, call, report);
    }
  }
}
