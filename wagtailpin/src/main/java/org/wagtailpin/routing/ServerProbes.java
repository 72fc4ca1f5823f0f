package org.wagtailpin.routing;

import java.util.function.Consumer;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.ProbeBudget;

/** Probes servers for their load within the rate of probes. Safe for all threads. */
final class ServerProbes {

  private final LoadProbe probe;
  private final ProbeBudget budget;

  ServerProbes(LoadProbe probe, ProbeBudget budget) {
    this.probe = probe;
    this.budget = budget;
  }

  /** Takes leave to send one probe to a server, if the rate allows it. */
  boolean tryTake(ServiceState service, ServerState server) {
    double perServer = service.view().settings().value(Tunable.SERVER_PROBES_PER_SECOND);
    double perEntry = perServer * service.view().size();
    ProbeBudget.Rates rates = new ProbeBudget.Rates(perServer, perEntry, perEntry);
    ConfigServer config = server.server();
    return budget.take(config.name(), config.region(), true, rates);
  }

  /**
   * Sends a probe for which leave was taken.
   *
   * @param server the server
   * @param path the path of its probe
   * @param done called once, on any thread, with the result
   */
  void send(ServerState server, String path, Consumer<ProbeAnswer> done) {
    probe.probe(server.server(), path, done);
  }
}
