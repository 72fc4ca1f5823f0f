package org.wagtailpin.store;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.asynchttpclient.Response;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.wire.ChangesMessage;
import org.wagtailpin.store.wire.ListMessage;
import org.wagtailpin.store.wire.StoreMessages;
import org.wagtailpin.store.wire.StoreProtocol;

/** Converts the store's HTTP responses to results; an invalid response becomes a failure. */
final class StoreResponseParser {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;

  private final StoreMessages messages = new StoreMessages();
  private final String storeName;

  StoreResponseParser(String storeName) {
    this.storeName = storeName;
  }

  ReadResult read(String key, Response response) {
    OptionalLong storeRevision = numericHeader(response, StoreProtocol.STORE_REVISION_HEADER);
    if (response.getStatusCode() == NOT_FOUND && storeRevision.isPresent()) {
      return new ReadResult.Absent(number(response, storeRevision.getAsLong()));
    }
    OptionalLong revision = numericHeader(response, StoreProtocol.KEY_REVISION_HEADER);
    if (response.getStatusCode() != OK || storeRevision.isEmpty() || revision.isEmpty()) {
      return new ReadResult.Failed(unexpectedResponse(Step.READ_STORE, response));
    }
    byte[] value = response.getResponseBodyAsBytes();
    StoreEntry entry =
        new StoreEntry(key, value, number(response, revision.getAsLong()), leaseOf(response));
    return new ReadResult.Found(entry, number(response, storeRevision.getAsLong()));
  }

  ListResult list(Response response) {
    Optional<ListMessage> message =
        response.getStatusCode() == OK
            ? messages.read(ListMessage.class, response.getResponseBodyAsBytes())
            : Optional.empty();
    if (message.isEmpty()) {
      return new ListResult.Failed(unexpectedResponse(Step.READ_STORE, response));
    }
    long era = era(response);
    List<StoreEntry> entries =
        message.get().entries().stream().map(entry -> entry.toEntry(era)).toList();
    return new ListResult.Listed(entries, number(response, message.get().storeRevision()));
  }

  WriteResult write(Response response) {
    OptionalLong revision = numericHeader(response, StoreProtocol.KEY_REVISION_HEADER);
    if (response.getStatusCode() == OK && revision.isPresent()) {
      return new WriteResult.Written(number(response, revision.getAsLong()));
    }
    if (response.getStatusCode() == CONFLICT && revision.isPresent()) {
      boolean exists = revision.getAsLong() > 0;
      return new WriteResult.Conflict(exists ? number(response, revision.getAsLong()) : 0);
    }
    Fault fault = unexpectedResponse(Step.WRITE_STORE, response);
    return response.getHeader(StoreProtocol.REFUSED_HEADER) != null
        ? new WriteResult.NotWritten(fault)
        : new WriteResult.Unknown(fault);
  }

  LeaseResult lease(Response response) {
    if (response.getStatusCode() == NOT_FOUND
        && numericHeader(response, StoreProtocol.STORE_REVISION_HEADER).isPresent()) {
      return new LeaseResult.Lapsed();
    }
    Optional<LeaseId> lease = leaseOf(response);
    OptionalLong ttlMillis = numericHeader(response, StoreProtocol.TTL_PARAMETER);
    if (response.getStatusCode() != OK || lease.isEmpty() || ttlMillis.isEmpty()) {
      return new LeaseResult.Failed(unexpectedResponse(Step.KEEP_LEASE, response));
    }
    return new LeaseResult.Held(lease.get(), ttlMillis.getAsLong());
  }

  WatchResult changes(Response response) {
    OptionalLong storeRevision = numericHeader(response, StoreProtocol.STORE_REVISION_HEADER);
    if (response.getStatusCode() == GONE && storeRevision.isPresent()) {
      return new WatchResult.Compacted(number(response, storeRevision.getAsLong()));
    }
    Optional<ChangesMessage> message =
        response.getStatusCode() == OK
            ? messages.read(ChangesMessage.class, response.getResponseBodyAsBytes())
            : Optional.empty();
    if (message.isEmpty()) {
      return new WatchResult.Failed(unexpectedResponse(Step.WATCH_STORE, response));
    }
    long era = era(response);
    List<StoreChange> changes =
        message.get().changes().stream().map(change -> change.toChange(era)).toList();
    return new WatchResult.Changed(changes, number(response, message.get().storeRevision()));
  }

  private static Optional<LeaseId> leaseOf(Response response) {
    OptionalLong lease = numericHeader(response, StoreProtocol.LEASE_HEADER);
    return lease.isPresent()
        ? Optional.of(new LeaseId(lease.getAsLong(), era(response)))
        : Optional.empty();
  }

  private static long number(Response response, long revision) {
    return StoreRevision.of(era(response), revision);
  }

  /** A response without the header is one of a store that was never restored. */
  private static long era(Response response) {
    return response.getHeader(StoreProtocol.ERA_HEADER) == null
        ? 0
        : numericHeader(response, StoreProtocol.ERA_HEADER)
            .orElseThrow(() -> new IllegalArgumentException("an era that is no number"));
  }

  private static OptionalLong numericHeader(Response response, String header) {
    String text = response.getHeader(header);
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private Fault unexpectedResponse(Step step, Response response) {
    String line = response.getResponseBody().lines().findFirst().orElse("");
    return fault(step, "answer with status " + response.getStatusCode() + ": " + line);
  }

  Fault fault(Step step, String detail) {
    return new Fault(step, Peer.STORE, storeName, detail);
  }
}
