package org.wagtailpin.backend;

import org.asynchttpclient.channel.ChannelPoolPartitioning;
import org.asynchttpclient.proxy.ProxyServer;
import org.asynchttpclient.uri.Uri;

/**
 * The connections that a request may use. AsyncHttpClient passes it to the pool as a partition key.
 *
 * @param server the connections to the request's server
 * @param excluded those that the request must not use
 */
record ConnectionChoice(ServerConnections server, SentConnections excluded)
    implements ChannelPoolPartitioning {

  @Override
  public Object getPartitionKey(Uri uri, String virtualHost, ProxyServer proxy) {
    return this;
  }
}
