package org.wagtailpin.customer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.config.ConfigCustomer;

/**
 * The customers of a configuration by key.
 *
 * <p>If several customers have the same key, it identifies the first of them by name, so that all
 * entries decide alike. Immutable.
 */
public final class CustomerIndex {

  private static final Comparator<ConfigCustomer> BY_NAME =
      Comparator.comparing(ConfigCustomer::name);

  private final List<ConfigCustomer> customers;
  private final HashTrie<ConfigCustomer> byName;
  private final HashTrie<List<ConfigCustomer>> byKey;

  private CustomerIndex(
      List<ConfigCustomer> customers,
      HashTrie<ConfigCustomer> byName,
      HashTrie<List<ConfigCustomer>> byKey) {
    this.customers = customers;
    this.byName = byName;
    this.byKey = byKey;
  }

  /** Returns an index without customers. */
  public static CustomerIndex empty() {
    return new CustomerIndex(List.of(), HashTrie.empty(), HashTrie.empty());
  }

  /**
   * Returns an index of other customers, which shares with this one what has not changed.
   *
   * @param newCustomers all customers of the new index; of two with the same name, the last one
   *     applies
   */
  public CustomerIndex changedTo(List<ConfigCustomer> newCustomers) {
    if (newCustomers.equals(customers)) {
      return this;
    }
    HashTrie<ConfigCustomer> names = byName;
    HashTrie<List<ConfigCustomer>> keys = byKey;
    Set<String> present = new HashSet<>();
    for (ConfigCustomer customer : newCustomers) {
      present.add(customer.name());
      Optional<ConfigCustomer> before = names.get(customer.name());
      if (before.isEmpty() || !before.get().equals(customer)) {
        keys = withoutKeysOf(keys, before);
        keys = withKeysOf(keys, customer);
        names = names.with(customer.name(), customer);
      }
    }
    for (ConfigCustomer customer : customers) {
      if (!present.contains(customer.name())) {
        keys = withoutKeysOf(keys, names.get(customer.name()));
        names = names.without(customer.name());
      }
    }
    return new CustomerIndex(List.copyOf(newCustomers), names, keys);
  }

  private static HashTrie<List<ConfigCustomer>> withoutKeysOf(
      HashTrie<List<ConfigCustomer>> keys, Optional<ConfigCustomer> customer) {
    HashTrie<List<ConfigCustomer>> changed = keys;
    for (String key : customer.map(ConfigCustomer::keys).orElse(List.of())) {
      List<ConfigCustomer> others = new ArrayList<>(changed.get(key).orElse(List.of()));
      others.removeIf(owner -> owner.name().equals(customer.get().name()));
      changed = others.isEmpty() ? changed.without(key) : changed.with(key, List.copyOf(others));
    }
    return changed;
  }

  private static HashTrie<List<ConfigCustomer>> withKeysOf(
      HashTrie<List<ConfigCustomer>> keys, ConfigCustomer customer) {
    HashTrie<List<ConfigCustomer>> changed = keys;
    for (String key : customer.keys()) {
      List<ConfigCustomer> owners = new ArrayList<>(changed.get(key).orElse(List.of()));
      owners.removeIf(owner -> owner.name().equals(customer.name()));
      owners.add(customer);
      owners.sort(BY_NAME);
      changed = changed.with(key, List.copyOf(owners));
    }
    return changed;
  }

  /** Returns whether there is no customer, so that no request needs a key. */
  public boolean isEmpty() {
    return customers.isEmpty();
  }

  /** Returns all customers. */
  public List<ConfigCustomer> all() {
    return customers;
  }

  /**
   * Finds the customer that a key identifies.
   *
   * @param key the key, case-sensitive
   * @return the customer, or empty if no customer has the key
   */
  public Optional<ConfigCustomer> ofKey(String key) {
    return byKey.get(key).map(owners -> owners.get(0));
  }

  /** Finds a customer by its name. */
  public Optional<ConfigCustomer> ofName(String name) {
    return byName.get(name);
  }

  /** Returns the number of nodes and entries that a look-up of a key visits. */
  int visitedBy(String key) {
    return byKey.visitedBy(key);
  }
}
