package org.wagtailpin.fleet;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;

/**
 * The connections of one entry to the store, which can go silent: calls under way get no answer,
 * and neither do calls on an idle connection, until one of them has timed out and the idle
 * connections are closed. New connections work.
 */
final class SilentConnections {

  private final Store store;
  private final ControlLoop loop;
  private final long timeoutMillis;
  private long generation;
  private long watchGeneration;
  private boolean idleSilent;
  private int calls;

  SilentConnections(Store store, ControlLoop loop, long timeoutMillis) {
    this.store = store;
    this.loop = loop;
    this.timeoutMillis = timeoutMillis;
  }

  void silence() {
    generation++;
    idleSilent = true;
  }

  /** Has the watch that waits now get no answer. All other calls use other connections. */
  void loseWatchAnswer() {
    watchGeneration++;
  }

  /** Returns how many calls were made, without stale reads, which cost little. */
  int calls() {
    return calls;
  }

  Store client() {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (proxy, method, args) -> call(method, args));
  }

  private Object call(Method method, Object[] args) throws Throwable {
    calls += method.getName().equals("readStale") ? 0 : 1;
    CompletableFuture<Object> answer = new CompletableFuture<>();
    loop.schedule(timeoutMillis(method, args), () -> timeOut(method, answer));
    if (idleSilent) {
      return answer;
    }
    long started = generation;
    long watchStarted = watchGeneration;
    boolean isWatch = method.getName().equals("watch");
    try {
      CompletableFuture<?> inner = (CompletableFuture<?>) method.invoke(store, args);
      var unused =
          inner.thenAccept(
              result -> {
                if (generation == started && !(isWatch && watchGeneration != watchStarted)) {
                  answer.complete(result);
                }
              });
    } catch (InvocationTargetException e) {
      throw e.getCause();
    }
    return answer;
  }

  private long timeoutMillis(Method method, Object[] args) {
    return switch (method.getName()) {
      case "watch" -> (long) args[2] + timeoutMillis;
      case "readStale" -> (long) args[1];
      default -> timeoutMillis;
    };
  }

  private void timeOut(Method method, CompletableFuture<Object> answer) {
    Fault fault = new Fault(Step.READ_STORE, Peer.STORE, "", "no answer in time");
    Object failure =
        switch (method.getName()) {
          case "watch" -> new WatchResult.Failed(fault);
          case "list" -> new ListResult.Failed(fault);
          default -> new ReadResult.Failed(fault);
        };
    if (answer.complete(failure)) {
      idleSilent = false;
    }
  }
}
