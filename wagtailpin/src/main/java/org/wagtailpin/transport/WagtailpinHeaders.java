package org.wagtailpin.transport;

import io.netty.util.AsciiString;

/** Names of the HTTP headers that this project defines. */
public final class WagtailpinHeaders {

  /** What the names of all of them begin with, in lower case. */
  public static final String PREFIX = "wagtailpin-";

  /** Identifies an attempt; a backend server repeats it in its answer. */
  public static final AsciiString ATTEMPT = AsciiString.cached("wagtailpin-attempt");

  /** Identifies a call in answers, log lines and requests to backend servers. */
  public static final AsciiString REQUEST_ID = AsciiString.cached("wagtailpin-request-id");

  /** The milliseconds that remain of a call, from an entry or a backend server. */
  public static final AsciiString DEADLINE_MILLIS =
      AsciiString.cached("wagtailpin-deadline-millis");

  /** The milliseconds that a caller from outside waits. */
  public static final AsciiString TIMEOUT_MILLIS = AsciiString.cached("wagtailpin-timeout-millis");

  /** How many calls lead to this one. */
  public static final AsciiString DEPTH = AsciiString.cached("wagtailpin-depth");

  /** The name of the caller's group. */
  public static final AsciiString CALLER_GROUP = AsciiString.cached("wagtailpin-caller-group");

  /** What is known of a request that brought no answer of a backend server. */
  public static final AsciiString OUTCOME = AsciiString.cached("wagtailpin-outcome");

  /** Marks the held answer of an earlier request with the same idempotency key. */
  public static final AsciiString REPLAYED = AsciiString.cached("wagtailpin-replayed");

  /** The load that a backend server reports with its answers. */
  public static final AsciiString LOAD = AsciiString.cached("wagtailpin-load");

  /** The key that makes a request run at most once. */
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

  private WagtailpinHeaders() {}
}
