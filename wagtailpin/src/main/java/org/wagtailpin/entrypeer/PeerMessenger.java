package org.wagtailpin.entrypeer;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Sends requests to other entries and answers theirs.
 *
 * <p>Entries are named by their identifier; the messenger knows their addresses. Messages can be
 * lost, late or doubled. The futures never complete exceptionally, and complete on the control
 * thread.
 */
public interface PeerMessenger {

  /** Returns the identifier of this entry. */
  String self();

  /**
   * Sends a request and awaits its answer.
   *
   * @param entry the identifier of the entry to ask
   * @param frame the frame with its body set; the messenger fills the rest
   * @param timeoutMillis how long to wait for the answer, in milliseconds, at least 1
   */
  CompletableFuture<PeerReply> request(String entry, PeerFrame.Builder frame, long timeoutMillis);

  /**
   * Sets who answers requests with a kind of body. Called before the messenger is started.
   *
   * @param body the kind of body
   * @param handler called on the control thread
   */
  void setHandler(PeerFrame.BodyCase body, PeerHandler handler);
}
