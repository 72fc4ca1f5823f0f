package org.wagtailpin.claims;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.wagtailpin.claims.generated.ClaimSegment;

/** Decodes log segments from the values in the store. */
final class SegmentCodec {

  private SegmentCodec() {}

  /** Decodes a segment; empty if the bytes are not a valid segment. */
  static Optional<ClaimSegment> read(byte[] value) {
    try {
      return Optional.of(ClaimSegment.parseFrom(value));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
