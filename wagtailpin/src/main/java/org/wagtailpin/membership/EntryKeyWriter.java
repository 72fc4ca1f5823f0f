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
 * Writes a store key with this entry's record, by compare-and-swap.
 *
 * <p>A key left by an earlier process at the same address is replaced, since that process cannot
 * run while this one listens there. A key written from another address is not changed. If the
 * outcome of a write is unknown, the key is read to find out. Confined to the control loop.
 */
final class EntryKeyWriter {

  /** Result of a write. */
  enum Outcome {
    /** The key holds this entry's record. */
    WRITTEN,
    /** The key holds another address's record, or the store did not answer. */
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

  /** Deletes the key unless it was changed after this entry's last write. */
  void delete() {
    var unused = store.delete(key, new WriteCondition.AtRevision(revision));
  }

  private boolean hasOwnAddress(Member holder) {
    return holder.address().equals(self.address()) && holder.peerPort() == self.peerPort();
  }
}
