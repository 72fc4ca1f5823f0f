package org.wagtailpin.entrypeer.memory;

import java.util.Optional;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * A frame in transit.
 *
 * @param sender the messenger that sent it and receives the answer
 * @param receiver the only messenger to which it may be delivered; empty for requests, which go to
 *     whichever messenger has the receiver's identifier on delivery
 * @param frame the request or the answer
 */
record MemoryMessage(
    MemoryPeerMessenger sender, Optional<MemoryPeerMessenger> receiver, PeerFrame frame) {}
