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
 * A ticket that redefines a server set with one server marked as leaving and all else unchanged.
 *
 * @param ticket the ticket, with the next free number of the state that it was made from
 * @param basis the state of the server set that the ticket was made from
 * @param alreadyLeaving whether the server is leaving in that state
 */
record DrainTicket(Ticket ticket, VersionedObject basis, boolean alreadyLeaving) {

  /** Creates a ticket with the next free number, or empty if no server set has the server. */
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

  /** Submits the ticket; it is accepted only if the server set has not changed meanwhile. */
  TicketResult accept(StoreConnection store, long timeoutMillis) {
    return store.acceptor().accept(ticket, List.of(basis), timeoutMillis).join();
  }
}
