package org.wagtailpin.transport;

import io.netty.util.AsciiString;
import java.util.Optional;
import java.util.Set;

/**
 * Header names and HTTP conventions between an entry, its callers and its backend servers.
 *
 * @param requestId header with the identifier of a call
 * @param callerTimeout header with the timeout of an external caller, in milliseconds
 * @param deadline header with the time until a call's deadline, in milliseconds, sent to backend
 *     servers and received from them on nested calls
 * @param load header with the load that a backend server reports in its answers
 * @param loadFormat format of the load header
 * @param requestLimit header with the requests per second, a decimal number, that a backend server
 *     takes from all entries together
 * @param attempt header with the identifier of an attempt, repeated by backend servers; empty if
 *     they repeat the identifier of the call instead
 * @param target header with the name of the backend server that a request is sent to, empty to send
 *     none
 * @param signature header whose presence shows that an answer was made by a backend server, empty
 *     if there is none; an answer with a 2xx status that lacks it is rejected
 * @param instance header with the name of the backend server that answered, empty if there is none
 * @param callerSetsRequestId whether callers supply the identifiers of calls; if not, the entry
 *     generates them
 * @param notRunStatuses status codes by which callers recognize that a request was not and will not
 *     be run; a backend server's answer with one of them is not relayed: it counts as not run if it
 *     is a proven refusal, and as an unknown outcome otherwise
 * @param allowsUnframedAnswers whether backend servers may delimit an answer by closing the
 *     connection; a connection reset still makes the answer incomplete
 * @param allowsFractionalRetryAfter whether Retry-After may have fractions of a second
 * @param buffersAnswers whether answers up to a maximum length are buffered before they are
 *     relayed, so that one that fails midway can be replaced
 * @param slowStart header in which a backend server's answer to a probe states for how many
 *     milliseconds the server is cold, empty if there is none
 * @param customerHeaders headers by which customers are identified; empty if they are not
 * @param serverLeaving header whose value 1 in an answer says that the server is leaving, empty if
 *     there is none
 * @param serverPause header of an answer with status 503 that states for how many seconds the
 *     server wants no requests, empty if it has no such meaning
 */
public record HttpDialect(
    AsciiString requestId,
    AsciiString callerTimeout,
    AsciiString deadline,
    AsciiString load,
    LoadFormat loadFormat,
    AsciiString requestLimit,
    Optional<AsciiString> attempt,
    Optional<AsciiString> target,
    Optional<AsciiString> signature,
    Optional<AsciiString> instance,
    boolean callerSetsRequestId,
    Set<Integer> notRunStatuses,
    boolean allowsUnframedAnswers,
    boolean allowsFractionalRetryAfter,
    boolean buffersAnswers,
    Optional<AsciiString> slowStart,
    Optional<CustomerHeaders> customerHeaders,
    Optional<AsciiString> serverLeaving,
    Optional<AsciiString> serverPause) {

  /** Format of the load header. */
  public enum LoadFormat {
    /** Named members: {@code inflight=3, queued=0, leaving}. */
    MEMBERS,
    /** Numbers in this order: running, waiting, slots and, if known, the slowness in percent. */
    COLUMNS
  }

  /** Makes the dialect immutable by copying the set of status codes. */
  public HttpDialect {
    notRunStatuses = Set.copyOf(notRunStatuses);
  }

  /**
   * Creates a dialect without customers, in which servers state neither that they are cold nor that
   * they leave or pause.
   */
  public HttpDialect(
      AsciiString requestId,
      AsciiString callerTimeout,
      AsciiString deadline,
      AsciiString load,
      LoadFormat loadFormat,
      AsciiString requestLimit,
      Optional<AsciiString> attempt,
      Optional<AsciiString> target,
      Optional<AsciiString> signature,
      Optional<AsciiString> instance,
      boolean callerSetsRequestId,
      Set<Integer> notRunStatuses,
      boolean allowsUnframedAnswers,
      boolean allowsFractionalRetryAfter,
      boolean buffersAnswers) {
    this(
        requestId,
        callerTimeout,
        deadline,
        load,
        loadFormat,
        requestLimit,
        attempt,
        target,
        signature,
        instance,
        callerSetsRequestId,
        notRunStatuses,
        allowsUnframedAnswers,
        allowsFractionalRetryAfter,
        buffersAnswers,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  /** Returns the default dialect, with the header names of {@link WagtailpinHeaders}. */
  public static HttpDialect standard() {
    return new HttpDialect(
        WagtailpinHeaders.REQUEST_ID,
        WagtailpinHeaders.TIMEOUT_MILLIS,
        WagtailpinHeaders.DEADLINE_MILLIS,
        WagtailpinHeaders.LOAD,
        LoadFormat.MEMBERS,
        WagtailpinHeaders.REQUEST_LIMIT,
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

  /** Returns the header that a backend server's answer repeats from its request. */
  public AsciiString echoedHeader() {
    return attempt.orElse(requestId);
  }
}
