package org.wagtailpin.config;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;

/** Reads the shared state from the store, for command-line tools. Thread-safe. */
public final class SharedStateReader {

  private final Store store;
  private final ConfigStateCodec codec = new ConfigStateCodec();

  /**
   * Creates a reader.
   *
   * @param store the store that holds the shared state
   */
  public SharedStateReader(Store store) {
    this.store = store;
  }

  /** Reads the state; it is empty if no ticket has been accepted yet. */
  public CompletableFuture<SharedStateReadResult> read() {
    return store.read(ConfigKeys.STATE).thenApply(this::resultOf);
  }

  private SharedStateReadResult resultOf(ReadResult read) {
    if (read instanceof ReadResult.Failed failed) {
      return new SharedStateReadResult.Failed(failed.fault());
    }
    if (!(read instanceof ReadResult.Found found)) {
      return new SharedStateReadResult.Loaded(ConfigState.empty());
    }
    ConfigStateReadResult decoded = codec.read(found.entry().value());
    if (decoded instanceof ConfigStateReadResult.Unreadable unreadable) {
      Fault fault = new Fault(Step.READ_STORE, Peer.STORE, "", unreadable.detail());
      return new SharedStateReadResult.Failed(fault);
    }
    return new SharedStateReadResult.Loaded(((ConfigStateReadResult.Read) decoded).state());
  }
}
