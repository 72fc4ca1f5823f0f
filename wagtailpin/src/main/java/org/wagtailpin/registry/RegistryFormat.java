package org.wagtailpin.registry;

/** Where registered servers and the operator's document lie in the store, and how they are read. */
public interface RegistryFormat {

  /** Returns the key of the operator's document. */
  String documentKey();

  /** Returns what the key of the document and those of registered servers begin with together. */
  String commonPrefix();

  /** Returns what the keys of registered servers begin with; the rest of a key names the server. */
  String serverPrefix();

  /**
   * Reads the operator's document.
   *
   * @param value the value of its key
   */
  DocumentReadResult readDocument(byte[] value);

  /**
   * Reads what a server says of itself.
   *
   * @param name the server's name
   * @param value the value of its key
   */
  ServerReadResult readServer(String name, byte[] value);
}
