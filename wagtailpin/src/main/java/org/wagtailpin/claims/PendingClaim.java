package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;

/** A claim that is queued, or whose batch is being written to the log. */
final class PendingClaim {

  private final KeyHash key;
  private final long fingerprint;
  private final String attempt;
  private final CompletableFuture<ClaimVerdict> verdict = new CompletableFuture<>();

  PendingClaim(KeyHash key, long fingerprint, String attempt) {
    this.key = key;
    this.fingerprint = fingerprint;
    this.attempt = attempt;
  }

  KeyHash key() {
    return key;
  }

  long fingerprint() {
    return fingerprint;
  }

  String attempt() {
    return attempt;
  }

  CompletableFuture<ClaimVerdict> verdict() {
    return verdict;
  }

  boolean decided() {
    return verdict.isDone();
  }
}
