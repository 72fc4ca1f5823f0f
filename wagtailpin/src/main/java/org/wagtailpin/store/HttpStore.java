package org.wagtailpin.store;

import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.wire.StoreProtocol;

/**
 * Store client over HTTP.
 *
 * <p>Each call sends at most one request. A write ends in {@link WriteResult.NotWritten} only if it
 * provably had no effect: no connection could be opened, or the store responded that it refused the
 * call. Every other write without a valid response ends in {@link WriteResult.Unknown}.
 * Thread-safe.
 */
public final class HttpStore implements Store {

  private final AsyncHttpClient client;
  private final String baseUrl;
  private final String clientName;
  private final StoreTimeouts timeouts;
  private final StoreResponseParser responseParser;

  /**
   * Creates a store client.
   *
   * @param client the HTTP client; it must not retry requests, see {@link StoreHttpClient}
   * @param address the store's base URL, such as {@code http://10.0.0.1:7400}
   * @param clientName the name sent with each request to identify this client to the store
   * @param timeouts the timeouts of calls; the connect timeout is that of the HTTP client
   */
  public HttpStore(AsyncHttpClient client, URI address, String clientName, StoreTimeouts timeouts) {
    this.client = client;
    this.baseUrl = address.toString().replaceAll("/+$", "");
    this.clientName = clientName;
    this.timeouts = timeouts;
    this.responseParser = new StoreResponseParser(address.getAuthority());
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    BoundRequestBuilder request =
        newRequest("GET", StoreProtocol.KEY_PATH).addQueryParam(StoreProtocol.KEY_PARAMETER, key);
    return send(
        request,
        response -> responseParser.read(key, response),
        error -> new ReadResult.Failed(fault(Step.READ_STORE, error)));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    BoundRequestBuilder request =
        newRequest("GET", StoreProtocol.LIST_PATH)
            .addQueryParam(StoreProtocol.PREFIX_PARAMETER, prefix);
    return send(
        request,
        responseParser::list,
        error -> new ListResult.Failed(fault(Step.READ_STORE, error)));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    BoundRequestBuilder request = conditionalRequest("PUT", key, condition).setBody(value);
    lease.ifPresent(id -> addLease(request, id));
    return send(request, responseParser::write, this::writeFailure);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return send(
        conditionalRequest("DELETE", key, condition), responseParser::write, this::writeFailure);
  }

  private BoundRequestBuilder conditionalRequest(
      String method, String key, WriteCondition condition) {
    return newRequest(method, StoreProtocol.KEY_PATH)
        .addQueryParam(StoreProtocol.KEY_PARAMETER, key)
        .addQueryParam(StoreProtocol.CONDITION_PARAMETER, conditionParameter(condition));
  }

  private static String conditionParameter(WriteCondition condition) {
    if (condition instanceof WriteCondition.AtRevision at) {
      return Long.toString(StoreRevision.bare(at.revision()));
    }
    return condition instanceof WriteCondition.Absent ? StoreProtocol.ABSENT : StoreProtocol.ALWAYS;
  }

  private WriteResult writeFailure(Throwable error) {
    Fault fault = fault(Step.WRITE_STORE, error);
    // If no connection was opened, no byte of the request was sent.
    return error instanceof ConnectException
        ? new WriteResult.NotWritten(fault)
        : new WriteResult.Unknown(fault);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    BoundRequestBuilder request =
        newRequest("POST", StoreProtocol.LEASE_PATH)
            .addQueryParam(StoreProtocol.TTL_PARAMETER, Long.toString(ttlMillis));
    return send(request, responseParser::lease, this::leaseFailure);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    BoundRequestBuilder request = newRequest("PUT", StoreProtocol.LEASE_PATH);
    return send(addLease(request, lease), responseParser::lease, this::leaseFailure);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    BoundRequestBuilder request = newRequest("DELETE", StoreProtocol.LEASE_PATH);
    return send(addLease(request, lease), responseParser::lease, this::leaseFailure);
  }

  private static BoundRequestBuilder addLease(BoundRequestBuilder request, LeaseId lease) {
    return request.addQueryParam(StoreProtocol.LEASE_PARAMETER, Long.toString(lease.value()));
  }

  private LeaseResult leaseFailure(Throwable error) {
    return new LeaseResult.Failed(fault(Step.KEEP_LEASE, error));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    BoundRequestBuilder request =
        newRequest("GET", StoreProtocol.CHANGES_PATH)
            .addQueryParam(StoreProtocol.PREFIX_PARAMETER, prefix)
            .addQueryParam(
                StoreProtocol.AFTER_PARAMETER, Long.toString(StoreRevision.bare(afterRevision)))
            .addQueryParam(StoreProtocol.WAIT_PARAMETER, Long.toString(waitMillis))
            .setRequestTimeout(Duration.ofMillis(waitMillis + timeouts.callMillis()));
    return send(
        request,
        responseParser::changes,
        error -> new WatchResult.Failed(fault(Step.WATCH_STORE, error)));
  }

  private BoundRequestBuilder newRequest(String method, String path) {
    return client
        .prepare(method, baseUrl + path)
        .setHeader(StoreProtocol.CLIENT_HEADER, clientName)
        .setRequestTimeout(Duration.ofMillis(timeouts.callMillis()));
  }

  private static <R> CompletableFuture<R> send(
      BoundRequestBuilder request,
      Function<Response, R> onResponse,
      Function<Throwable, R> onFailure) {
    return request
        .execute()
        .toCompletableFuture()
        .thenApply(onResponse)
        // Also for a response whose era or revision is not valid.
        .exceptionally(error -> onFailure.apply(causeOf(error)));
  }

  private static Throwable causeOf(Throwable error) {
    return error instanceof CompletionException && error.getCause() != null
        ? error.getCause()
        : error;
  }

  private Fault fault(Step step, Throwable error) {
    return responseParser.fault(step, error.getClass().getSimpleName() + ": " + error.getMessage());
  }
}
