package org.wagtailpin.backend;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The connections on which a request was sent under one identifier.
 *
 * <p>A server may repeat an answer where the next one is due. Answers are matched by the
 * identifier, so a request that is sent again under the same identifier must not use a connection
 * that carried it before: a repeated rejection would be taken for the answer to the second sending.
 * The same holds for another call whose caller uses the identifier again. Thread-safe.
 */
public final class SentConnections {

  private final String identifier;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

  /**
   * Creates a set for a call that has not been sent yet.
   *
   * @param identifier the identifier, empty if the request has none
   */
  public SentConnections(String identifier) {
    this.identifier = identifier;
  }

  void add(Channel channel) {
    channels.add(channel);
  }

  boolean contains(Channel channel) {
    return channels.contains(channel) || BackendConnectionHandler.of(channel).carried(identifier);
  }
}
