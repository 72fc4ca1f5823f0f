package org.wagtailpin.routing;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/** Offers a JSON log line for each decision, whose text is made by the taker's thread. */
public final class LoggedPlacementObserver implements PlacementObserver {

  private final ObjectMapper mapper = new ObjectMapper();
  private final Clock clock;
  private final DecisionLines lines;

  /**
   * Creates an observer.
   *
   * @param clock the clock of the lines' times
   * @param lines takes the lines
   */
  public LoggedPlacementObserver(Clock clock, DecisionLines lines) {
    this.clock = clock;
    this.lines = lines;
  }

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {
    long wallMillis = clock.wallMillis();
    lines.offer(() -> grantLine(wallMillis, call, server, reason));
  }

  private String grantLine(
      long wallMillis, CallDescriptor call, ConfigServer server, PlacementReason reason) {
    ObjectNode line = line("placed", wallMillis, call, reason);
    line.put("server", server.name());
    line.put("candidates", reason.candidates());
    line.put("inFlight", reason.inFlight());
    line.put("estimatedLoad", reason.estimatedLoad());
    line.put("reportAgeMillis", reason.reportAgeMillis());
    return line.toString();
  }

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {
    long wallMillis = clock.wallMillis();
    lines.offer(() -> refusalLine(wallMillis, call, fault, reason));
  }

  private String refusalLine(
      long wallMillis, CallDescriptor call, Fault fault, PlacementReason reason) {
    ObjectNode line = line("refused", wallMillis, call, reason);
    line.put("step", fault.step().label());
    line.put("detail", fault.detail());
    return line.toString();
  }

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {
    long wallMillis = clock.wallMillis();
    lines.offer(() -> changeLine(wallMillis, server, change));
  }

  private String changeLine(long wallMillis, ConfigServer server, ServerChange change) {
    ObjectNode line = mapper.createObjectNode();
    line.put("event", "server-" + change.label());
    line.put("time", wallMillis);
    line.put("server", server.name());
    return line.toString();
  }

  private ObjectNode line(
      String event, long wallMillis, CallDescriptor call, PlacementReason reason) {
    ObjectNode line = mapper.createObjectNode();
    line.put("event", event);
    line.put("time", wallMillis);
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
