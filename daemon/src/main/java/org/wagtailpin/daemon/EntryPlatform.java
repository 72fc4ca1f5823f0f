package org.wagtailpin.daemon;

import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.wagtailpin.membership.MembershipSettings;
import org.wagtailpin.registry.RegistryFormat;
import org.wagtailpin.store.Store;
import org.wagtailpin.transport.HttpDialect;

/**
 * Platform on which an entry runs: the protocol of the store, the HTTP headers and the format of
 * registered servers and configuration.
 */
public interface EntryPlatform {

  /**
   * Creates a client of the store.
   *
   * @param client the HTTP client that sends the requests; the caller closes it
   * @param settings the entry's settings, which hold the URL of the store
   */
  Store createStore(AsyncHttpClient client, EntrySettings settings);

  /** Returns the HTTP header names and conventions. */
  HttpDialect dialect();

  /**
   * Returns the format of registered servers and of the operator's document.
   *
   * @param settings the entry's settings
   * @return the format, empty if servers and configuration are taken from tickets
   */
  Optional<RegistryFormat> registryFormat(EntrySettings settings);

  /** Returns the time-outs and intervals of the membership protocol. */
  MembershipSettings membershipSettings();

  /** Returns the path of the readiness check on the operators' address. */
  String readyPath();
}
