package org.wagtailpin.tools.demo;

import java.util.List;
import java.util.stream.Collectors;
import org.wagtailpin.standins.backend.BackendServerStandIn;

/** JSON texts of the tickets that the demonstration applies. */
final class DemoTickets {

  private static final String SERVICE_FORMAT =
      """
      {"kind": "service", "name": "%s", "echoesAttempt": true,
       "refusals": [
         {"status": 503, "headerName": "Wagtailpin-Refused", "headerValue": "not-run"}]}\
      """;

  private DemoTickets() {}

  static String servicesTicket(
      long number, List<BackendServerStandIn> lessons, List<BackendServerStandIn> orders) {
    return """
    {"ticket": %d, "objects": [
      %s, %s, %s, %s,
      {"kind": "route", "name": "lessons", "pathPrefix": "/lessons", "methods": ["GET"],
       "service": "lessons", "deadlineMillis": 3000},
      {"kind": "route", "name": "orders", "pathPrefix": "/orders", "methods": ["POST"],
       "service": "orders", "deadlineMillis": 3000, "keyRule": "required"}
    ]}
    """
        .formatted(
            number,
            SERVICE_FORMAT.formatted("lessons"),
            SERVICE_FORMAT.formatted("orders"),
            serverSet("lessons", lessons, ""),
            serverSet("orders", orders, ""));
  }

  static String leavingTicket(
      long number, List<BackendServerStandIn> lessons, BackendServerStandIn leaving) {
    return "{\"ticket\": %d, \"objects\": [%s]}"
        .formatted(number, serverSet("lessons", lessons, leaving.profile().name()));
  }

  private static String serverSet(
      String service, List<BackendServerStandIn> servers, String leaving) {
    String list =
        servers.stream()
            .map(server -> server(server, server.profile().name().equals(leaving)))
            .collect(Collectors.joining(",\n"));
    return """
    {"kind": "serverSet", "name": "%s", "service": "%s", "servers": [%s]}"""
        .formatted(service, service, list);
  }

  private static String server(BackendServerStandIn server, boolean leaving) {
    return """
    {"name": "%s", "address": "%s", "port": %d, "region": "north", "failureDomain": "north-a",
     "slots": %d, "connections": 60, "leaving": %b}"""
        .formatted(
            server.profile().name(),
            server.address().getAddress().getHostAddress(),
            server.address().getPort(),
            server.profile().slots(),
            leaving);
  }
}
