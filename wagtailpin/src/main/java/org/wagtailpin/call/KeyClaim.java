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

/** Claim of a call on its idempotency key. */
final class KeyClaim {

  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final CallEnvironment environment;
  private final Listener listener;

  /** Told what came of the claim, on the thread that hands the result over. */
  interface Listener {

    /** The key is claimed, and the work is the call's to do. */
    void claimed(KeyedWork work);

    /** The work was done before; its answer is held. */
    void replayed(HeldAnswer answer);

    /** The claim was refused. */
    void refused(int status, Outcome outcome, Fault fault);
  }

  KeyClaim(CallEnvironment environment, Listener listener) {
    this.environment = environment;
    this.listener = listener;
  }

  /**
   * Asks for the key.
   *
   * @param key the key
   * @param call the call
   * @param request the call's request
   * @param body its body
   * @param executor runs a task on the call's event loop
   * @param ended tells whether the call has ended meanwhile, so that the key is given back
   */
  void submit(
      String key,
      CallDescriptor call,
      IncomingRequest request,
      RequestBody body,
      Executor executor,
      BooleanSupplier ended) {
    String scope = call.route().service() + "/" + request.callerGroup();
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
