package org.wagtailpin.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigState;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.config.VersionedObject;

/**
 * A ticket that gives a server set its whole state with one server leaving.
 *
 * @param ticket the ticket
 * @param basis the state of the set that it was made from
 * @param alreadyLeaving whether the server is leaving in that state
 */
record DrainTicket(Ticket ticket, VersionedObject basis, boolean alreadyLeaving) {

  /** Makes a ticket with the next free number, or empty if no set has the server. */
  static Optional<DrainTicket> of(String server, ConfigState state) {
    for (VersionedObject object : state.merged().objects()) {
      if (object.value().isPresent() && object.value().get() instanceof ConfigServerSet set) {
        Optional<ConfigServer> found =
            set.servers().stream().filter(each -> each.name().equals(server)).findFirst();
        if (found.isPresent()) {
          long number = state.merged().highestTicket() + 1;
          Ticket ticket = new Ticket(number, List.of(withServerLeaving(set, server)), List.of());
          return Optional.of(new DrainTicket(ticket, object, found.get().leaving()));
        }
      }
    }
    return Optional.empty();
  }

  private static ConfigServerSet withServerLeaving(ConfigServerSet set, String server) {
    List<ConfigServer> servers = new ArrayList<>();
    for (ConfigServer each : set.servers()) {
      servers.add(each.name().equals(server) ? asLeaving(each) : each);
    }
    return new ConfigServerSet(set.name(), set.service(), servers);
  }

  private static ConfigServer asLeaving(ConfigServer server) {
    return new ConfigServer(
        server.name(),
        server.address(),
        server.port(),
        server.region(),
        server.failureDomain(),
        server.slots(),
        server.connections(),
        true);
  }

  /** Has the ticket accepted if the set is still in the state that it was made from. */
  TicketResult accept(StoreConnection store, long timeoutMillis) {
    return store.acceptor().accept(ticket, List.of(basis), timeoutMillis).join();
  }
}
