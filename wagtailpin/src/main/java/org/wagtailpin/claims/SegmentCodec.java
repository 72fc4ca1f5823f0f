package org.wagtailpin.claims;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.wagtailpin.claims.generated.ClaimSegment;

/** Reads segments from the bytes that the store holds. */
final class SegmentCodec {

  private SegmentCodec() {}

  /** Returns the segment, or empty if the bytes are no segment. */
  static Optional<ClaimSegment> read(byte[] value) {
    try {
      return Optional.of(ClaimSegment.parseFrom(value));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
