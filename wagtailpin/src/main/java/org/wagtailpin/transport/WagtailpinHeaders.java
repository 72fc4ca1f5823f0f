package org.wagtailpin.transport;

import io.netty.util.AsciiString;

/** Names of the HTTP headers defined or interpreted by this project. */
public final class WagtailpinHeaders {

  /** Common prefix of the headers defined by this project, in lower case. */
  public static final String PREFIX = "wagtailpin-";

  /** Identifier of an attempt; a backend server repeats it in its answer. */
  public static final AsciiString ATTEMPT = AsciiString.cached("wagtailpin-attempt");

  /** Identifier of a call in answers, log lines and requests to backend servers. */
  public static final AsciiString REQUEST_ID = AsciiString.cached("wagtailpin-request-id");

  /** Remaining time until a call's deadline, in milliseconds, set by entries and servers. */
  public static final AsciiString DEADLINE_MILLIS =
      AsciiString.cached("wagtailpin-deadline-millis");

  /** Timeout of an external caller, in milliseconds. */
  public static final AsciiString TIMEOUT_MILLIS = AsciiString.cached("wagtailpin-timeout-millis");

  /** Nesting depth: the number of enclosing calls. */
  public static final AsciiString DEPTH = AsciiString.cached("wagtailpin-depth");

  /** Name of the caller group, forwarded on nested calls. */
  public static final AsciiString CALLER_GROUP = AsciiString.cached("wagtailpin-caller-group");

  /** Whether a request without a backend server's answer may have been run. */
  public static final AsciiString OUTCOME = AsciiString.cached("wagtailpin-outcome");

  /** Marks an answer that is replayed from an earlier request with the same idempotency key. */
  public static final AsciiString REPLAYED = AsciiString.cached("wagtailpin-replayed");

  /** Load report of a backend server, sent with its answers. */
  public static final AsciiString LOAD = AsciiString.cached("wagtailpin-load");

  /** Requests per second that a backend server takes from all entries, sent with its answers. */
  public static final AsciiString REQUEST_LIMIT = AsciiString.cached("wagtailpin-request-limit");

  /** Idempotency key, under which a request is run at most once. */
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

  private WagtailpinHeaders() {}
}
