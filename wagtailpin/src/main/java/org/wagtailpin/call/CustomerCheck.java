package org.wagtailpin.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.customer.CustomerIndex;
import org.wagtailpin.customer.Identification;
import org.wagtailpin.customer.KeyRefusalReason;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.transport.CustomerHeaders;

/**
 * Checks before each attempt of a call that its key is still in the configuration, and writes the
 * customer into the request. Confined to the call's event loop.
 */
final class CustomerCheck {

  private final CallEnvironment environment;
  private final CallDescriptor call;
  private final IncomingRequest request;

  CustomerCheck(CallEnvironment environment, CallDescriptor call, IncomingRequest request) {
    this.environment = environment;
    this.call = call;
    this.request = request;
  }

  private CustomerIndex customers() {
    return environment.config().current().customers();
  }

  /** Returns why an attempt must not be sent now, empty if it may be. */
  Optional<Fault> refusal() {
    Identification now = Identification.of(customers(), call.route(), request.key());
    if (now instanceof Identification.Accepted) {
      return Optional.empty();
    }
    environment.keyRefusals().record(KeyRefusalReason.REMOVED, request.key());
    return Optional.of(new Fault(Step.IDENTIFY, Peer.SELF, "", KeyRefusalReason.REMOVED.detail()));
  }

  /** Replaces the key by the customer's name, if the configuration has customers. */
  void rewrite(HttpHeaders headers) {
    Optional<CustomerHeaders> names = environment.dialect().customerHeaders();
    CustomerIndex customers = customers();
    if (names.isEmpty() || (customers.isEmpty() && call.customer().isEmpty())) {
      return;
    }
    headers.remove(names.get().key());
    headers.remove(names.get().customer());
    Identification now = Identification.of(customers, call.route(), request.key());
    if (now instanceof Identification.Accepted accepted) {
      accepted
          .customer()
          .map(ConfigCustomer::name)
          .ifPresent(name -> headers.set(names.get().customer(), name));
    }
  }
}
