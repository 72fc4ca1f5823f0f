package org.wagtailpin.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.wagtailpin.entrypeer.generated.EntryRecord;
import org.wagtailpin.store.StoreEntry;

/** Store keys of entries, and the encoding of their values. */
public final class EntryKeys {

  /** Common prefix of lease keys and registration keys. */
  static final String PREFIX = "entries";

  private static final String LEASE_KEY_PREFIX = "entries/";
  private static final String REGISTRATION_KEY_PREFIX = "entries-registered/";

  private EntryKeys() {}

  static String leaseKey(String entry) {
    return LEASE_KEY_PREFIX + entry;
  }

  static String registrationKey(String entry) {
    return REGISTRATION_KEY_PREFIX + entry;
  }

  static Optional<String> entryOfLeaseKey(String key) {
    return stripPrefix(LEASE_KEY_PREFIX, key);
  }

  static Optional<String> entryOfRegistrationKey(String key) {
    return stripPrefix(REGISTRATION_KEY_PREFIX, key);
  }

  private static Optional<String> stripPrefix(String prefix, String key) {
    return key.startsWith(prefix) ? Optional.of(key.substring(prefix.length())) : Optional.empty();
  }

  static byte[] encode(Member member) {
    return toRecord(member).toByteArray();
  }

  /** Returns the message that describes a member. */
  public static EntryRecord toRecord(Member member) {
    return EntryRecord.newBuilder()
        .setId(member.id())
        .setIncarnation(member.incarnation())
        .setAddress(member.address())
        .setPort(member.peerPort())
        .setRegion(member.region())
        .setFailureDomain(member.failureDomain())
        .build();
  }

  /** Returns the member that a message describes. */
  public static Member toMember(EntryRecord record) {
    return new Member(
        record.getId(),
        record.getIncarnation(),
        record.getAddress(),
        record.getPort(),
        record.getRegion(),
        record.getFailureDomain(),
        false);
  }

  /** Returns the member encoded in a key's value, or empty if the value is not a valid record. */
  static Optional<Member> decode(StoreEntry entry) {
    try {
      return Optional.of(toMember(EntryRecord.parseFrom(entry.value())));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
