package org.wagtailpin.membership;

import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/**
 * Writes a key that describes this entry, by compare-and-swap.
 *
 * <p>A key left by an earlier process at the same address is replaced, since that process cannot
 * run while this one listens there. A key of another address is left alone. A lost answer is
 * resolved by reading the key back.
 */
final class EntryKeyWriter {

  /** How an attempt ended. */
  enum Outcome {
    /** The key holds this entry's record. */
    WRITTEN,
    /** The key holds the record of another host, or the store could not be asked. */
    NOT_WRITTEN
  }

  private final Store store;
  private final ControlLoop loop;
  private final String key;
  private final Member self;
  private long revision;

  EntryKeyWriter(Store store, ControlLoop loop, String key, Member self) {
    this.store = store;
    this.loop = loop;
    this.key = key;
    this.self = self;
  }

  void write(Optional<LeaseId> lease, Consumer<Outcome> callback) {
    write(new WriteCondition.Absent(), lease, callback);
  }

  private void write(
      WriteCondition condition, Optional<LeaseId> lease, Consumer<Outcome> callback) {
    LoopCallbacks.onLoop(
        loop,
        store.write(key, EntryKeys.encode(self), condition, lease),
        result -> onWriteResult(result, lease, callback));
  }

  private void onWriteResult(
      WriteResult result, Optional<LeaseId> lease, Consumer<Outcome> callback) {
    if (result instanceof WriteResult.Written written) {
      revision = written.revision();
      callback.accept(Outcome.WRITTEN);
    } else if (result instanceof WriteResult.NotWritten) {
      callback.accept(Outcome.NOT_WRITTEN);
    } else {
      LoopCallbacks.onLoop(loop, store.read(key), read -> onReadResult(read, lease, callback));
    }
  }

  private void onReadResult(ReadResult read, Optional<LeaseId> lease, Consumer<Outcome> callback) {
    if (!(read instanceof ReadResult.Found found)) {
      callback.accept(Outcome.NOT_WRITTEN);
      return;
    }
    StoreEntry entry = found.entry();
    Optional<Member> holder = EntryKeys.decode(entry);
    if (holder.isPresent() && holder.get().equals(self) && entry.lease().equals(lease)) {
      revision = entry.revision();
      callback.accept(Outcome.WRITTEN);
    } else if (holder.isPresent() && hasOwnAddress(holder.get())) {
      write(new WriteCondition.AtRevision(entry.revision()), lease, callback);
    } else {
      callback.accept(Outcome.NOT_WRITTEN);
    }
  }

  /** Deletes the key unless it was written again since. */
  void delete() {
    var unused = store.delete(key, new WriteCondition.AtRevision(revision));
  }

  private boolean hasOwnAddress(Member holder) {
    return holder.address().equals(self.address()) && holder.peerPort() == self.peerPort();
  }
}
