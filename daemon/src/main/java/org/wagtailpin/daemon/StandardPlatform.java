package org.wagtailpin.daemon;

import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.wagtailpin.membership.MembershipSettings;
import org.wagtailpin.registry.RegistryFormat;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.transport.HttpDialect;

/** Platform that uses the project's own store protocol and header names, and tickets. */
public final class StandardPlatform implements EntryPlatform {

  @Override
  public Store createStore(AsyncHttpClient client, EntrySettings settings) {
    return new HttpStore(client, settings.store(), settings.id(), StoreTimeouts.defaults());
  }

  @Override
  public HttpDialect dialect() {
    return HttpDialect.standard();
  }

  @Override
  public Optional<RegistryFormat> registryFormat(EntrySettings settings) {
    return Optional.empty();
  }

  @Override
  public MembershipSettings membershipSettings() {
    return MembershipSettings.defaults();
  }

  @Override
  public String readyPath() {
    return "/readyz";
  }
}
