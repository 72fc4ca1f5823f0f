package org.wagtailpin.budget;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.entrypeer.generated.UnitReply;
import org.wagtailpin.entrypeer.generated.UnitRequest;

/** Exchanges requests for units in messages between entries. Confined to the control loop. */
public final class PeerBudgetLink implements BudgetLink {

  /** Bounds what a wrong message can ask for. */
  private static final double MAX_UNITS = 10_000;

  private final PeerMessenger messenger;

  /**
   * Creates a link.
   *
   * @param messenger sends and receives the messages
   */
  public PeerBudgetLink(PeerMessenger messenger) {
    this.messenger = messenger;
  }

  /**
   * Has requests of other entries answered. Must be called before the messenger is started.
   *
   * @param budgets answers the requests
   */
  public void answerWith(FleetBudgets budgets) {
    messenger.setHandler(
        PeerFrame.BodyCase.UNIT_REQUEST,
        frame -> {
          CompletableFuture<PeerFrame.Builder> answer = new CompletableFuture<>();
          Consumer<BudgetReply> listener = reply -> answer.complete(encode(reply));
          Optional<BudgetRequest> request = decode(frame.getUnitRequest());
          if (request.isPresent()) {
            budgets.answer(request.get(), listener);
          } else {
            listener.accept(BudgetReply.notHolder());
          }
          return answer;
        });
  }

  @Override
  public void send(
      String entry,
      BudgetRequest request,
      long timeoutMillis,
      Consumer<Optional<BudgetReply>> listener) {
    UnitRequest.Builder body =
        UnitRequest.newBuilder()
            .setKind(encode(request.budget().kind()))
            .setName(request.budget().name())
            .setUnits(request.units())
            .setLoan(request.loan());
    var unused =
        messenger
            .request(entry, PeerFrame.newBuilder().setUnitRequest(body), timeoutMillis)
            .thenAccept(reply -> listener.accept(decode(reply)));
  }

  private static Optional<BudgetRequest> decode(UnitRequest message) {
    return decode(message.getKind())
        .map(kind -> new BudgetKey(kind, message.getName()))
        .map(key -> new BudgetRequest(key, limited(message.getUnits()), message.getLoan()));
  }

  private static Optional<BudgetReply> decode(PeerReply reply) {
    if (!(reply instanceof PeerReply.Answered answered) || !answered.frame().hasUnitReply()) {
      return Optional.empty();
    }
    UnitReply message = answered.frame().getUnitReply();
    double units = limited(message.getUnits());
    double spare = limited(message.getSpare());
    return switch (message.getVerdict()) {
      case GRANTED -> Optional.of(BudgetReply.granted(units, spare));
      case DENIED -> Optional.of(BudgetReply.denied(message.getRetryAfterMillis(), spare));
      default -> Optional.of(BudgetReply.notHolder());
    };
  }

  /** Numbers that are negative or no numbers are taken for 0. */
  private static double limited(double units) {
    return units > 0 ? Math.min(MAX_UNITS, units) : 0;
  }

  private static PeerFrame.Builder encode(BudgetReply reply) {
    UnitReply.Verdict verdict =
        switch (reply.verdict()) {
          case GRANTED -> UnitReply.Verdict.GRANTED;
          case DENIED -> UnitReply.Verdict.DENIED;
          case NOT_HOLDER -> UnitReply.Verdict.NOT_HOLDER;
        };
    UnitReply.Builder body =
        UnitReply.newBuilder()
            .setVerdict(verdict)
            .setUnits(reply.units())
            .setRetryAfterMillis(reply.retryAfterMillis())
            .setSpare(reply.spare());
    return PeerFrame.newBuilder().setUnitReply(body);
  }

  private static UnitRequest.Kind encode(BudgetKind kind) {
    return switch (kind) {
      case CUSTOMER_QUOTA -> UnitRequest.Kind.CUSTOMER_QUOTA;
      case SERVER_LIMIT -> UnitRequest.Kind.SERVER_LIMIT;
      case COLD_SERVER -> UnitRequest.Kind.COLD_SERVER;
    };
  }

  private static Optional<BudgetKind> decode(UnitRequest.Kind kind) {
    return switch (kind) {
      case CUSTOMER_QUOTA -> Optional.of(BudgetKind.CUSTOMER_QUOTA);
      case SERVER_LIMIT -> Optional.of(BudgetKind.SERVER_LIMIT);
      case COLD_SERVER -> Optional.of(BudgetKind.COLD_SERVER);
      default -> Optional.empty();
    };
  }
}
