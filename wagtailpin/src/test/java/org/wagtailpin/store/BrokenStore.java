package org.wagtailpin.store;

import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A store client that breaks the contract of {@link Store}. */
final class BrokenStore {

  private BrokenStore() {}

  /**
   * Returns a store client.
   *
   * @param answer supplies what each call returns, or throws what it throws
   */
  static Store answering(Supplier<CompletableFuture<?>> answer) {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (proxy, method, args) -> answer.get());
  }
}
