package org.wagtailpin.transport;

import io.netty.util.AsciiString;
import java.util.Optional;
import java.util.Set;

/**
 * The header names by which an entry, its callers and its backend servers understand each other.
 *
 * @param requestId identifies a call
 * @param callerTimeout the milliseconds that a caller from outside waits
 * @param deadline the milliseconds that remain of a call, towards backend servers
 * @param load the load that a backend server reports with its answers
 * @param loadFormat how the value of that header is written
 * @param attempt identifies an attempt, repeated by backend servers; empty if they repeat the
 *     call's identifier instead
 * @param target names the backend server that a request is meant for, empty if none is named
 * @param signature marks an answer as made by a backend server, empty if answers have no such mark;
 *     an answer of success without it is none
 * @param instance names the backend server that answered, empty if answers have no such mark
 * @param callerSetsRequestId whether callers give calls their identifiers; if not, the entry does
 * @param notRunStatuses status codes that tell a caller that its request was not and will not be
 *     run; a backend server's answer with one of them is passed on only with proof
 * @param allowsUnframedAnswers whether backend servers may end an answer with its connection; one
 *     that is reset is broken off
 * @param allowsFractionalRetryAfter whether the time to come back may have fractions of a second
 * @param buffersAnswers whether answers of moderate length are collected before any of them is
 *     passed on, so that one that breaks off can be replaced
 */
public record HttpDialect(
    AsciiString requestId,
    AsciiString callerTimeout,
    AsciiString deadline,
    AsciiString load,
    LoadFormat loadFormat,
    Optional<AsciiString> attempt,
    Optional<AsciiString> target,
    Optional<AsciiString> signature,
    Optional<AsciiString> instance,
    boolean callerSetsRequestId,
    Set<Integer> notRunStatuses,
    boolean allowsUnframedAnswers,
    boolean allowsFractionalRetryAfter,
    boolean buffersAnswers) {

  /** How the value of the load header is written. */
  public enum LoadFormat {
    /** Named members: {@code inflight=3, queued=0, leaving}. */
    MEMBERS,
    /** Numbers in order: running, waiting, slots and, if known, the slowness in percent. */
    COLUMNS
  }

  /** Copies the set. */
  public HttpDialect {
    notRunStatuses = Set.copyOf(notRunStatuses);
  }

  /** Returns the project's own names, described in {@link WagtailpinHeaders}. */
  public static HttpDialect standard() {
    return new HttpDialect(
        WagtailpinHeaders.REQUEST_ID,
        WagtailpinHeaders.TIMEOUT_MILLIS,
        WagtailpinHeaders.DEADLINE_MILLIS,
        WagtailpinHeaders.LOAD,
        LoadFormat.MEMBERS,
        Optional.of(WagtailpinHeaders.ATTEMPT),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        false,
        Set.of(),
        false,
        false,
        false);
  }

  /** Returns the header that an answer repeats from its request. */
  public AsciiString echoedHeader() {
    return attempt.orElse(requestId);
  }
}
