package org.wagtailpin.transport;

import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;

/**
 * TLS factory for HTTP clients that do not use TLS. It avoids the cost of loading the trusted root
 * certificates.
 */
public final class PlainTextSslEngineFactory implements SslEngineFactory {

  @Override
  public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
    throw new IllegalStateException("TLS is not supported: this client uses plain HTTP only");
  }
}
