package org.wagtailpin.daemon;

import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.wagtailpin.membership.MembershipSettings;
import org.wagtailpin.registry.RegistryFormat;
import org.wagtailpin.store.Store;
import org.wagtailpin.transport.HttpDialect;

/** What an entry runs on: the store's protocol, the header names and the form of what is kept. */
public interface EntryPlatform {

  /**
   * Creates the client of the store.
   *
   * @param client sends its requests
   * @param settings the entry's settings
   */
  Store createStore(AsyncHttpClient client, EntrySettings settings);

  /** Returns the header names. */
  HttpDialect dialect();

  /**
   * Returns the form of registered servers and of the operator's document, empty if servers and
   * configuration come by tickets.
   *
   * @param settings the entry's settings
   */
  Optional<RegistryFormat> registryFormat(EntrySettings settings);

  /** Returns the timing of membership. */
  MembershipSettings membershipSettings();

  /** Returns the path at which the entry tells whether it is ready. */
  String readyPath();
}
