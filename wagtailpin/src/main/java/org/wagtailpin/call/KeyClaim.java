package org.wagtailpin.call;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.claims.ClaimKey;
import org.wagtailpin.claims.ClaimResult;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.claims.HeldAnswer;
import org.wagtailpin.error.Fault;
import org.wagtailpin.routing.CallDescriptor;

/** Claims the idempotency key of a call and maps the result to the call's next step. */
final class KeyClaim {

  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final CallEnvironment environment;
  private final Listener listener;

  /** Receives the result of a claim, on the executor given to {@link #submit}. */
  interface Listener {

    /** Called when the claim is granted; the call must run the work and settle the claim. */
    void claimed(KeyedWork work);

    /** Called when the work was run before and its answer is held. */
    void replayed(HeldAnswer answer);

    /** Called when the claim is refused, with the status and outcome to answer with. */
    void refused(int status, Outcome outcome, Fault fault);
  }

  KeyClaim(CallEnvironment environment, Listener listener) {
    this.environment = environment;
    this.listener = listener;
  }

  /**
   * Requests the claim. The key is scoped to the service, the caller group and the customer.
   *
   * @param key the idempotency key sent by the caller
   * @param call the call, whose deadline limits the claim
   * @param request the request head, part of the fingerprint
   * @param body the request body, part of the fingerprint
   * @param executor runs a task on the call's event loop
   * @param ended returns whether the call has ended in the meantime; a claim granted after that is
   *     released as not run
   */
  void submit(
      String key,
      CallDescriptor call,
      IncomingRequest request,
      RequestBody body,
      Executor executor,
      BooleanSupplier ended) {
    String customer = call.customer().map(owner -> "/" + owner.name()).orElse("");
    String scope = call.route().service() + "/" + request.callerGroup() + customer;
    var unused =
        environment
            .claims()
            .claim(
                new ClaimKey(scope, key),
                KeyedWork.fingerprint(request, body),
                call.deadlineMillis())
            .thenAccept(
                result -> executor.execute(() -> handleResult(result, ended.getAsBoolean())));
  }

  private void handleResult(ClaimResult result, boolean ended) {
    if (ended) {
      releaseClaim(result);
    } else if (result instanceof ClaimResult.Granted granted) {
      int maxHeldBytes = environment.settings().maxHeldAnswerBytes();
      listener.claimed(new KeyedWork(environment.claims(), granted.token(), maxHeldBytes));
    } else if (result instanceof ClaimResult.Replayed replayed) {
      listener.replayed(replayed.answer());
    } else if (result instanceof ClaimResult.AlreadyDispatched dispatched) {
      listener.refused(CONFLICT, Outcome.UNKNOWN, dispatched.fault());
    } else if (result instanceof ClaimResult.KeyReused reused) {
      listener.refused(UNPROCESSABLE, Outcome.NOT_RUN, reused.fault());
    } else if (result instanceof ClaimResult.Unavailable unavailable) {
      listener.refused(SERVICE_UNAVAILABLE, Outcome.NOT_RUN, unavailable.fault());
    }
  }

  private void releaseClaim(ClaimResult result) {
    if (result instanceof ClaimResult.Granted granted) {
      environment.claims().settle(granted.token(), new ClaimSettlement.NotRun());
    }
  }
}
