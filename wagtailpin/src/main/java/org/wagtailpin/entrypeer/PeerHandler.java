package org.wagtailpin.entrypeer;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Answers requests of other entries. */
public interface PeerHandler {

  /**
   * Answers a request.
   *
   * @param request the request, from an entry that names itself in it
   * @return the answer with its body set, now or later; never completed exceptionally
   */
  CompletableFuture<PeerFrame.Builder> handle(PeerFrame request);
}
