package org.wagtailpin.customer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Short keyed hashes by which log lines tell keys apart. The hashing key is random and never leaves
 * the process, so that a customer's key cannot be guessed from a hash. Thread-safe.
 */
public final class KeyHash {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int SECRET_BYTES = 32;
  private static final int HASH_BYTES = 4;

  private final SecretKeySpec secret;

  /** Creates a hash with a random hashing key. */
  public KeyHash() {
    byte[] random = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(random);
    this.secret = new SecretKeySpec(random, ALGORITHM);
  }

  /**
   * Returns the hash of a key in hexadecimal digits, empty if the request carries no single key.
   *
   * @param key the key
   */
  public String of(PresentedKey key) {
    return key.text().map(this::hash).orElse("");
  }

  private String hash(String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      byte[] full = mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(full, 0, HASH_BYTES);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
    }
  }
}
