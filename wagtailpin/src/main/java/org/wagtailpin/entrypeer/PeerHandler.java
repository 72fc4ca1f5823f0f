package org.wagtailpin.entrypeer;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Handles requests from other entries; called on the control thread. */
public interface PeerHandler {

  /**
   * Handles a request.
   *
   * @param request the request, whose sender field is not empty
   * @return a future of the answer with its body set; must not complete exceptionally
   */
  CompletableFuture<PeerFrame.Builder> handle(PeerFrame request);
}
