package org.wagtailpin.tools;

import java.net.URI;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** Arguments of commands that access the store and the entries. */
abstract class StoreArguments extends ArgumentsCommand.Arguments {

  private static final String DEFAULT_STORE = "http://127.0.0.1:7400";
  private static final long DEFAULT_STORE_TIMEOUT_MILLIS = 30_000;
  private static final long DEFAULT_WAIT_MILLIS = 18_000;

  @Option(name = "--store", metaVar = "URL", usage = "address of the store")
  private String store = DEFAULT_STORE;

  @Option(
      name = "--entries",
      metaVar = "IP:PORT,...",
      usage = "admin addresses of the entries, separated by commas")
  private String entries = "";

  @Option(name = "--wait", usage = "wait until the change is in force at the entries")
  private boolean wait;

  @Option(
      name = "--wait-millis",
      metaVar = "MS",
      usage = "how long to wait for the entries, in milliseconds")
  private long waitMillis = DEFAULT_WAIT_MILLIS;

  @Option(
      name = "--patience-millis",
      metaVar = "MS",
      usage = "how long to retry store operations, in milliseconds")
  private long storeTimeoutMillis = DEFAULT_STORE_TIMEOUT_MILLIS;

  String storeText() {
    return store;
  }

  String entriesText() {
    return entries;
  }

  boolean waits() {
    return wait;
  }

  long waitMillis() {
    return waitMillis;
  }

  long storeTimeoutMillis() {
    return storeTimeoutMillis;
  }

  /** Returns the store's address, or prints an error and returns empty if it is not valid. */
  Optional<URI> storeAddress(Console console) {
    try {
      URI address = URI.create(store);
      if (address.getHost() != null && address.getPort() > 0) {
        return Optional.of(address);
      }
    } catch (IllegalArgumentException e) {
      // Reported below with the same message as an address without a host or port.
    }
    console.printError("--store: found %s, expected an address such as %s", store, DEFAULT_STORE);
    return Optional.empty();
  }

  /** Returns whether the entries to wait for are given, and prints an error if not. */
  boolean isComplete(Console console) {
    if (wait && entries.isEmpty()) {
      console.printError("--entries: found nothing, expected the addresses to wait for");
      return false;
    }
    return true;
  }
}
