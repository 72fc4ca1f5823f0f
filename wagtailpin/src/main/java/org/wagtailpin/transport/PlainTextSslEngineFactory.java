package org.wagtailpin.transport;

import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;

/** Factory for clients that never use TLS, which spares them the reading of all trusted roots. */
public final class PlainTextSslEngineFactory implements SslEngineFactory {

  @Override
  public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
    throw new IllegalStateException("this client speaks plain HTTP only");
  }
}
