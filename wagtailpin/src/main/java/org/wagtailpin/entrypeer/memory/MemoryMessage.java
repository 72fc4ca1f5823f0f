package org.wagtailpin.entrypeer.memory;

import java.util.Optional;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * A frame on its way.
 *
 * @param sender the messenger that sent it, which takes the answer
 * @param receiver the only messenger that may take it, empty if any of the receiver's identifier
 *     may
 * @param frame the frame
 */
record MemoryMessage(
    MemoryPeerMessenger sender, Optional<MemoryPeerMessenger> receiver, PeerFrame frame) {}
