package org.wagtailpin.routing;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tinylog.Logger;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/** Writes a JSON log line for each decision. */
public final class LoggedPlacementObserver implements PlacementObserver {

  private final ObjectMapper mapper = new ObjectMapper();
  private final Clock clock;

  /**
   * Creates an observer.
   *
   * @param clock the clock of the lines' times
   */
  public LoggedPlacementObserver(Clock clock) {
    this.clock = clock;
  }

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {
    ObjectNode line = line("placed", call, reason);
    line.put("server", server.name());
    line.put("candidates", reason.candidates());
    line.put("inFlight", reason.inFlight());
    line.put("estimatedLoad", reason.estimatedLoad());
    line.put("reportAgeMillis", reason.reportAgeMillis());
    Logger.info(line.toString());
  }

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {
    ObjectNode line = line("refused", call, reason);
    line.put("step", fault.step().label());
    line.put("detail", fault.detail());
    Logger.info(line.toString());
  }

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {
    ObjectNode line = mapper.createObjectNode();
    line.put("event", "server-" + change.label());
    line.put("wallMillis", clock.wallMillis());
    line.put("server", server.name());
    Logger.info(line.toString());
  }

  private ObjectNode line(String event, CallDescriptor call, PlacementReason reason) {
    ObjectNode line = mapper.createObjectNode();
    line.put("event", event);
    line.put("wallMillis", clock.wallMillis());
    line.put("request", call.requestId());
    line.put("service", call.route().service());
    line.put("route", call.route().name());
    line.put("callerGroup", call.callerGroup());
    line.put("depth", call.depth());
    line.put("rule", reason.rule().label());
    line.put("queuedMillis", reason.queuedMillis());
    return line;
  }
}
