package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.limits.CustomerWork;

/**
 * Applies the shares of customers to calls, and counts their work. Calls without a customer are
 * neither counted nor refused here. Safe for all threads.
 */
final class CustomerSharing {

  private final CustomerAdmission admission;

  CustomerSharing(CustomerAdmission admission) {
    this.admission = admission;
  }

  private static Optional<CustomerWork> work(QueuedCall queued) {
    CallDescriptor call = queued.call();
    return call.customer()
        .map(
            customer ->
                new CustomerWork(
                    call.route().service(),
                    queued.priority(),
                    customer.name(),
                    queued.weight(),
                    queued.expectedMillis()));
  }

  /**
   * Takes the work of a new call from the share of its customer, or marks that it exceeds it. Deep
   * calls and work that may wait are not limited: the former are part of calls that were admitted,
   * and the latter goes behind all other work.
   */
  void judge(QueuedCall queued) {
    if (queued.depth() == 0 && !queued.mayWait()) {
      work(queued).flatMap(admission::tryTake).ifPresent(queued::markExcess);
    }
  }

  /** Lets a call that exceeds the share of its customer wait like any other. */
  void admitExcess(QueuedCall queued) {
    work(queued).ifPresent(admission::chargeExcess);
    queued.clearExcess();
  }

  /** Records that a call was given a server. */
  void granted(QueuedCall queued) {
    work(queued).ifPresent(work -> admission.granted(work, queued.excess().isPresent()));
  }

  /** Records that a call was refused. */
  void refused(QueuedCall queued, PlacementRule rule) {
    if (rule.lacksCapacity()) {
      work(queued).ifPresent(work -> admission.refused(work, queued.excess().isPresent()));
    }
  }
}
