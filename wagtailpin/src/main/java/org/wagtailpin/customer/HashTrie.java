package org.wagtailpin.customer;

import java.util.Arrays;
import java.util.Optional;

/**
 * An immutable map with text keys whose versions share what they have in common.
 *
 * <p>A look-up visits a fixed number of nodes, whatever the size of the map. A change copies only
 * the nodes on the path to one key, which have a fixed size.
 *
 * @param <V> the type of values
 */
final class HashTrie<V> {

  private static final int BITS_PER_LEVEL = 6;
  private static final int NODE_SIZE = 1 << BITS_PER_LEVEL;

  // With three levels of 64 there are 262,144 leaves, so that 10,000 keys rarely share one.
  private static final int LEVELS = 3;

  // Odd constant of Knuth's multiplicative hashing, 2^32 divided by the golden ratio.
  private static final int HASH_FACTOR = 0x9E3779B9;

  /** A key and its value; entries whose keys have the same leaf form a list. */
  private record Entry<V>(String key, V value, Optional<Entry<V>> next) {}

  private final Object[] root;

  private HashTrie(Object[] root) {
    this.root = root;
  }

  /** Returns a map without entries. */
  static <V> HashTrie<V> empty() {
    return new HashTrie<>(new Object[NODE_SIZE]);
  }

  /** Returns the value of a key. */
  Optional<V> get(String key) {
    Optional<Entry<V>> entry = firstEntry(key);
    while (entry.isPresent() && !entry.get().key().equals(key)) {
      entry = entry.get().next();
    }
    return entry.map(Entry::value);
  }

  /** Returns the number of nodes and entries that a look-up of a key visits. */
  int visitedBy(String key) {
    int visited = LEVELS;
    Optional<Entry<V>> entry = firstEntry(key);
    while (entry.isPresent()) {
      visited++;
      entry = entry.get().key().equals(key) ? Optional.empty() : entry.get().next();
    }
    return visited;
  }

  @SuppressWarnings("unchecked")
  private Optional<Entry<V>> firstEntry(String key) {
    Object[] node = root;
    for (int level = 0; level < LEVELS - 1; level++) {
      node = (Object[]) node[slot(key, level)];
      if (node == null) {
        return Optional.empty();
      }
    }
    return Optional.ofNullable((Entry<V>) node[slot(key, LEVELS - 1)]);
  }

  /** Returns a map in which a key has a value. */
  HashTrie<V> with(String key, V value) {
    return new HashTrie<>(changed(root, 0, key, Optional.of(value)));
  }

  /** Returns a map without a key. */
  HashTrie<V> without(String key) {
    return new HashTrie<>(changed(root, 0, key, Optional.empty()));
  }

  @SuppressWarnings("unchecked")
  private static <V> Object[] changed(Object[] node, int level, String key, Optional<V> value) {
    Object[] copy = node == null ? new Object[NODE_SIZE] : Arrays.copyOf(node, NODE_SIZE);
    int slot = slot(key, level);
    if (level < LEVELS - 1) {
      copy[slot] = changed((Object[]) copy[slot], level + 1, key, value);
      return copy;
    }
    Optional<Entry<V>> others = without(Optional.ofNullable((Entry<V>) copy[slot]), key);
    copy[slot] =
        value.map(present -> new Entry<>(key, present, others)).or(() -> others).orElse(null);
    return copy;
  }

  private static <V> Optional<Entry<V>> without(Optional<Entry<V>> entries, String key) {
    if (entries.isEmpty()) {
      return entries;
    }
    Entry<V> first = entries.get();
    return first.key().equals(key)
        ? first.next()
        : Optional.of(new Entry<>(first.key(), first.value(), without(first.next(), key)));
  }

  private static int slot(String key, int level) {
    int hash = key.hashCode() * HASH_FACTOR;
    return hash >>> (Integer.SIZE - BITS_PER_LEVEL * (level + 1)) & (NODE_SIZE - 1);
  }
}
