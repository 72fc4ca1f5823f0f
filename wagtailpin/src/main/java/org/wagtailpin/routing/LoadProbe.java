package org.wagtailpin.routing;

import java.util.function.Consumer;
import org.wagtailpin.config.ConfigServer;

/** Probes backend servers for their load. */
public interface LoadProbe {

  /**
   * Probes one server.
   *
   * @param server the server
   * @param path the path of its probe
   * @param done called once, on any thread, with the result
   */
  void probe(ConfigServer server, String path, Consumer<ProbeAnswer> done);

  /** Returns a probe that servers never answer. */
  static LoadProbe none() {
    return (server, path, done) -> done.accept(ProbeAnswer.none());
  }
}
