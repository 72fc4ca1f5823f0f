package org.wagtailpin.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.wagtailpin.entrypeer.generated.EntryRecord;
import org.wagtailpin.store.StoreEntry;

/** The keys by which entries are known in the store. */
final class EntryKeys {

  /** Prefix of all keys about entries. */
  static final String PREFIX = "entries";

  private static final String LEASED_PREFIX = "entries/";
  private static final String REGISTERED_PREFIX = "entries-registered/";

  private EntryKeys() {}

  static String leased(String entry) {
    return LEASED_PREFIX + entry;
  }

  static String registered(String entry) {
    return REGISTERED_PREFIX + entry;
  }

  static Optional<String> leasedEntry(String key) {
    return after(LEASED_PREFIX, key);
  }

  static Optional<String> registeredEntry(String key) {
    return after(REGISTERED_PREFIX, key);
  }

  private static Optional<String> after(String prefix, String key) {
    return key.startsWith(prefix) ? Optional.of(key.substring(prefix.length())) : Optional.empty();
  }

  static byte[] write(Member member) {
    return record(member).toByteArray();
  }

  static EntryRecord record(Member member) {
    return EntryRecord.newBuilder()
        .setId(member.id())
        .setIncarnation(member.incarnation())
        .setAddress(member.address())
        .setPort(member.peerPort())
        .setRegion(member.region())
        .setFailureDomain(member.failureDomain())
        .build();
  }

  static Member member(EntryRecord record) {
    return new Member(
        record.getId(),
        record.getIncarnation(),
        record.getAddress(),
        record.getPort(),
        record.getRegion(),
        record.getFailureDomain(),
        false);
  }

  /** Returns the member that a key's value describes, or empty if the value is not a record. */
  static Optional<Member> read(StoreEntry entry) {
    try {
      return Optional.of(member(EntryRecord.parseFrom(entry.value())));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
