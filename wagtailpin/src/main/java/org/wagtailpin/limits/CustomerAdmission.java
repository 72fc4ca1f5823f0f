package org.wagtailpin.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;

/**
 * Decides which calls exceed the max-min fair share of their customer while their service is
 * overloaded, by the sums of the failure domain, or by this entry's own if those are missing or too
 * old. Safe for all threads.
 */
public final class CustomerAdmission {

  /** How often the shares are computed anew at most. */
  private static final double REFRESH_MILLIS = 250;

  private record Customer(int priority, int customer) {}

  /** The shares of a service in force at this entry. */
  private final class ServiceShares {
    private final String service;
    private final Map<Customer, ShareAllowance> allowances = new HashMap<>();
    private CapacityShares shares = new CapacityShares(List.of());
    private boolean domainSums;
    private double measuredMillis;
    private double computedMillis = Double.NEGATIVE_INFINITY;

    ServiceShares(String service) {
      this.service = service;
    }

    private void refresh(double now) {
      if (now - computedMillis < REFRESH_MILLIS) {
        return;
      }
      Optional<CustomerSums> domain = sums.latest().filter(latest -> latest.has(service));
      CustomerSums used = domain.orElseGet(sums::ownSums);
      domainSums = domain.isPresent();
      measuredMillis = now - used.ageMillis();
      computedMillis = now;
      shares = new CapacityShares(used.of(service));
      allowances.keySet().removeIf(key -> excess(key).isEmpty());
      allowances.forEach(
          (key, allowance) -> allowance.changeShare(ownShare(key, excess(key).get()), now));
    }

    private Optional<CapacityShares.Share> excess(Customer key) {
      return shares.excess(key.priority(), key.customer());
    }

    /** Returns the part of a customer's share that is this entry's by the customer's work here. */
    private double ownShare(Customer key, CapacityShares.Share share) {
      double here = load.offered(service, key.priority(), key.customer());
      return share.share() * Math.min(1, here / share.offered());
    }

    synchronized Optional<CustomerExcess> tryTake(CustomerWork work) {
      double now = clock.exactMillis();
      refresh(now);
      Customer key = new Customer(work.priority(), work.customerId());
      Optional<CapacityShares.Share> share = excess(key);
      if (share.isEmpty()) {
        return Optional.empty();
      }
      ShareAllowance allowance =
          allowances.computeIfAbsent(
              key, added -> new ShareAllowance(ownShare(key, share.get()), now));
      if (allowance.tryTake(work.workMillis(), now)) {
        return Optional.empty();
      }
      return Optional.of(
          new CustomerExcess(
              share.get().offered(),
              share.get().share(),
              domainSums,
              now - measuredMillis,
              allowance.waitMillis(),
              allowance.paceMillis(work.workMillis())));
    }

    synchronized void charge(CustomerWork work) {
      ShareAllowance allowance = allowances.get(new Customer(work.priority(), work.customerId()));
      if (allowance != null) {
        allowance.charge(work.workMillis(), clock.exactMillis());
      }
    }

    synchronized void giveBack(CustomerWork work) {
      ShareAllowance allowance = allowances.get(new Customer(work.priority(), work.customerId()));
      if (allowance != null) {
        allowance.giveBack(work.workMillis());
      }
    }

    synchronized int excessiveCustomers() {
      return shares.excessiveCustomers();
    }
  }

  private final Clock clock;
  private final CustomerLoad load;
  private final DomainCustomerSums sums;
  private final ConcurrentHashMap<String, ServiceShares> services = new ConcurrentHashMap<>();

  /**
   * Creates an admission that knows of no work.
   *
   * @param clock the clock
   */
  public CustomerAdmission(Clock clock) {
    this.clock = clock;
    this.load = new CustomerLoad(clock);
    this.sums = new DomainCustomerSums(load, clock);
  }

  /** Returns the sums that this entry exchanges with the others of its failure domain. */
  public DomainCustomerSums sums() {
    return sums;
  }

  /**
   * Takes the work of a call from the share of its customer.
   *
   * @param work the work of the call
   * @return why it exceeds the share, in which case nothing was taken and the call may only have a
   *     server that is free; empty if it does not exceed it
   */
  public Optional<CustomerExcess> tryTake(CustomerWork work) {
    return of(work).tryTake(work);
  }

  /**
   * Records that a call was given a server.
   *
   * @param work the work of the call
   * @param exceeded whether it exceeds the share of its customer
   */
  public void granted(CustomerWork work, boolean exceeded) {
    load.recordAdmitted(work);
    if (exceeded) {
      of(work).charge(work);
    }
  }

  /**
   * Charges the share of a customer with a call that exceeds it and is admitted for a server that
   * may be free.
   *
   * @param work the work of the call
   */
  public void chargeExcess(CustomerWork work) {
    of(work).charge(work);
  }

  /**
   * Records that a call was refused for lack of capacity.
   *
   * @param work the work of the call
   * @param exceeded whether it exceeds the share of its customer
   */
  public void refused(CustomerWork work, boolean exceeded) {
    load.recordRefused(work);
    if (!exceeded) {
      of(work).giveBack(work);
    }
  }

  private ServiceShares of(CustomerWork work) {
    return services.computeIfAbsent(work.service(), ServiceShares::new);
  }

  /** Returns the age of the sums of the failure domain, empty if none are in use. */
  public Optional<Double> sumsAgeMillis() {
    return sums.latest().map(CustomerSums::ageMillis);
  }

  /** Returns how many customers ask a service for more than their share, by this entry's belief. */
  public int excessiveCustomers(String service) {
    ServiceShares shares = services.get(service);
    return shares == null ? 0 : shares.excessiveCustomers();
  }
}
