package org.wagtailpin.entrypeer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Dispatches requests from other entries to the handlers registered for their kinds of body. */
public final class RequestDispatcher {

  /** Version of the peer protocol that this entry sends. */
  public static final int PROTOCOL_VERSION = 1;

  private final PeerIdentity self;
  private final ControlLoop loop;
  private final Map<PeerFrame.BodyCase, PeerHandler> handlers =
      new EnumMap<>(PeerFrame.BodyCase.class);

  /**
   * Creates a dispatcher without handlers, which ignores all requests.
   *
   * @param self the sender of the answers
   * @param loop runs the handlers
   */
  public RequestDispatcher(PeerIdentity self, ControlLoop loop) {
    this.self = self;
    this.loop = loop;
  }

  /**
   * Sets the handler of a kind of body. Must be called before requests arrive.
   *
   * @param body the kind of body
   * @param handler called on the control loop
   */
  public void register(PeerFrame.BodyCase body, PeerHandler handler) {
    handlers.put(body, handler);
  }

  /**
   * Runs the handler of a request on the control loop. Frames without a version or a sender,
   * answers and requests with a body that has no handler are ignored.
   *
   * @param request the request
   * @param answerConsumer called with the answer, on any thread
   */
  public void dispatch(PeerFrame request, Consumer<PeerFrame> answerConsumer) {
    PeerHandler handler = handlers.get(request.getBodyCase());
    boolean valid =
        request.getVersion() >= 1 && !request.getSender().isEmpty() && !request.getIsAnswer();
    if (handler == null || !valid) {
      return;
    }
    loop.execute(() -> runHandler(handler, request, answerConsumer));
  }

  private void runHandler(
      PeerHandler handler, PeerFrame request, Consumer<PeerFrame> answerConsumer) {
    CompletableFuture<Void> unused =
        handler
            .handle(request)
            .thenAccept(
                answer -> answerConsumer.accept(completeAnswer(answer, request.getRequestId())));
  }

  private PeerFrame completeAnswer(PeerFrame.Builder answer, long requestId) {
    return setCommonFields(answer).setIsAnswer(true).setRequestId(requestId).build();
  }

  /**
   * Sets the fields that are the same in all frames of this entry: version, sender and incarnation.
   *
   * @param frame the frame
   * @return the same builder
   */
  public PeerFrame.Builder setCommonFields(PeerFrame.Builder frame) {
    return frame
        .setVersion(PROTOCOL_VERSION)
        .setSender(self.id())
        .setIncarnation(self.incarnation());
  }
}
