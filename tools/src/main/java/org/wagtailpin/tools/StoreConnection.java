package org.wagtailpin.tools;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.asynchttpclient.AsyncHttpClient;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.SharedStateReadResult;
import org.wagtailpin.config.SharedStateReader;
import org.wagtailpin.config.TicketAcceptor;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;

/** A command's connection to the store: the HTTP client and the control loop of one run. */
final class StoreConnection implements AutoCloseable {

  private static final String CLIENT_NAME = "operator";

  private final StoreTimeouts timeouts = StoreTimeouts.defaults();
  private final StoreHttpClient http = new StoreHttpClient(timeouts);
  private final ThreadControlLoop loop = new ThreadControlLoop("operator");
  private final Store store;

  StoreConnection(URI address) {
    this.store = new HttpStore(http.client(), address, CLIENT_NAME, timeouts);
  }

  TicketAcceptor acceptor() {
    return new TicketAcceptor(
        store, new SystemClock(), loop, RandomSource.XO_RO_SHI_RO_128_PP.create());
  }

  CompletableFuture<SharedStateReadResult> readState() {
    return new SharedStateReader(store).read();
  }

  AsyncHttpClient http() {
    return http.client();
  }

  @Override
  public void close() {
    loop.close();
    http.close();
  }
}
