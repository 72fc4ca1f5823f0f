package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import org.wagtailpin.config.ConfigServer;

/** Leave to run an attempt that gives its slot back once. */
final class ServerGrant implements Grant {

  /** Told the end of an attempt. */
  interface End {
    void ended(ServiceState service, ServerState server, QueuedCall call, AttemptReport report);
  }

  private final ServiceState service;
  private final ServerState server;
  private final ConfigServer configServer;
  private final QueuedCall call;
  private final End end;
  private final AtomicBoolean open = new AtomicBoolean(true);

  ServerGrant(ServiceState service, ServerState server, QueuedCall call, End end) {
    this.service = service;
    this.server = server;
    this.configServer = server.server();
    this.call = call;
    this.end = end;
  }

  @Override
  public ConfigServer server() {
    return configServer;
  }

  @Override
  public void finished(AttemptReport report) {
    if (open.compareAndSet(true, false)) {
      end.ended(service, server, call, report);
    }
  }
}
