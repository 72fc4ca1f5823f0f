package org.wagtailpin.customer;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The key that a request carries. Its text is secret, so {@link #toString} omits it.
 *
 * <p>A request that repeats the same key carries that key; one with different keys carries none of
 * them, since it is not clear on whose behalf it is sent.
 */
public final class PresentedKey {

  private static final PresentedKey NONE = new PresentedKey(Set.of());

  private final Set<String> values;

  private PresentedKey(Set<String> values) {
    this.values = values;
  }

  /** Returns the key of a request that carries none. */
  public static PresentedKey none() {
    return NONE;
  }

  /**
   * Returns the key of a request.
   *
   * @param values the values of all key headers of the request
   */
  public static PresentedKey of(List<String> values) {
    return values.isEmpty() ? NONE : new PresentedKey(Set.copyOf(values));
  }

  /** Returns whether the request has no key header. */
  boolean missing() {
    return values.isEmpty();
  }

  /** Returns the key, or empty if there is none or it is ambiguous. */
  Optional<String> text() {
    return values.size() == 1 ? Optional.of(values.iterator().next()) : Optional.empty();
  }

  @Override
  public String toString() {
    return "PresentedKey[" + values.size() + "]";
  }
}
