package org.wagtailpin.entrypeer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Leads requests of other entries to their handlers, by the kind of body. */
public final class RequestDispatcher {

  /** Version of the protocol that this code speaks. */
  public static final int PROTOCOL_VERSION = 1;

  private final PeerIdentity self;
  private final ControlLoop loop;
  private final Map<PeerFrame.BodyCase, PeerHandler> handlers =
      new EnumMap<>(PeerFrame.BodyCase.class);

  /**
   * Creates a dispatcher without handlers.
   *
   * @param self the sender of the answers
   * @param loop runs the handlers
   */
  public RequestDispatcher(PeerIdentity self, ControlLoop loop) {
    this.self = self;
    this.loop = loop;
  }

  /**
   * Sets the handler of a kind of body. Called before requests arrive.
   *
   * @param body the kind of body
   * @param handler answers the requests
   */
  public void register(PeerFrame.BodyCase body, PeerHandler handler) {
    handlers.put(body, handler);
  }

  /**
   * Runs the handler of a request on the control loop. A frame without sender, an answer, and a
   * body that no handler knows are ignored.
   *
   * @param request the request
   * @param answerConsumer takes the answer, on any thread
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
   * Fills in what every frame of this entry carries.
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
