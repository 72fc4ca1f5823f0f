package org.wagtailpin.entrypeer;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Sends requests to other entries and dispatches the requests received from them.
 *
 * <p>Entries are addressed by their identifiers; the messenger resolves these to network addresses.
 * Messages can be lost, delayed or duplicated. Futures complete on the control thread, and never
 * exceptionally.
 */
public interface PeerMessenger {

  /** Returns the identifier of this entry. */
  String self();

  /**
   * Sends a request.
   *
   * @param entry the identifier of the receiving entry
   * @param frame the frame with its body set; the messenger sets all other fields
   * @param timeoutMillis how long to wait for the answer, in milliseconds, at least 1
   * @return a future of the result
   */
  CompletableFuture<PeerReply> request(String entry, PeerFrame.Builder frame, long timeoutMillis);

  /**
   * Sets the handler of requests with a kind of body. Must be called before the messenger is
   * started; a second handler for the same kind replaces the first.
   *
   * @param body the kind of body
   * @param handler called on the control thread
   */
  void setHandler(PeerFrame.BodyCase body, PeerHandler handler);
}
