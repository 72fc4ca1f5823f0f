package org.wagtailpin.limits;

import java.util.Optional;

/**
 * Decides when the caller of a refused request may come back. What is decided is named in the
 * answer, so that callers neither wait in vain nor come before there is room for them.
 */
public interface ReturnTime {

  /**
   * What is known when a request is refused.
   *
   * @param service the service
   * @param priority the priority of the request, 0 for the most urgent
   * @param waitMillis how long a call that joined the queue now would wait for a slot, in
   *     milliseconds; infinite if that is not known
   * @param acceptedWaitMillis the longest wait with which the request would have been accepted, in
   *     milliseconds
   * @param millisPerCall the time between two slots that become free, in milliseconds; infinite if
   *     that is not known
   * @param remainingMillis the time that is left until the request's deadline, in milliseconds
   * @param customer the customer whose share of the service the request exceeds, if that is why it
   *     is refused; the times are then those of the share
   */
  record Backlog(
      String service,
      int priority,
      double waitMillis,
      double acceptedWaitMillis,
      double millisPerCall,
      long remainingMillis,
      Optional<String> customer) {

    /** Creates the backlog of a request that does not exceed the share of a customer. */
    public Backlog(
        String service,
        int priority,
        double waitMillis,
        double acceptedWaitMillis,
        double millisPerCall,
        long remainingMillis) {
      this(
          service,
          priority,
          waitMillis,
          acceptedWaitMillis,
          millisPerCall,
          remainingMillis,
          Optional.empty());
    }
  }

  /**
   * Returns the time after which the caller may come back, in milliseconds, at least 1.
   *
   * @param backlog the work ahead of the request
   */
  long millis(Backlog backlog);
}
