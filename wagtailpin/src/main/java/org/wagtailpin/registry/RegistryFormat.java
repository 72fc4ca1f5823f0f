package org.wagtailpin.registry;

import java.util.Optional;

/** Store keys and value format of server registrations and the operator's document. */
public interface RegistryFormat {

  /** Returns the key of the operator's document. */
  String documentKey();

  /** Returns a common prefix of the keys of the document and of all registrations. */
  String commonPrefix();

  /** Returns the key prefix of registrations; the rest of a key is the server's name. */
  String serverPrefix();

  /**
   * Returns the key prefix of evacuations, or empty if the store holds none; the rest of a key is
   * the name of the evacuated failure domain.
   */
  default Optional<String> evacuationPrefix() {
    return Optional.empty();
  }

  /** Returns the interval at which servers renew their registrations, in milliseconds. */
  long renewalMillis();

  /**
   * Reads the operator's document.
   *
   * @param value the value stored under its key
   */
  DocumentReadResult readDocument(byte[] value);

  /**
   * Reads a server's registration.
   *
   * @param name the server's name, from the key
   * @param value the value stored under the key
   */
  ServerReadResult readServer(String name, byte[] value);
}
