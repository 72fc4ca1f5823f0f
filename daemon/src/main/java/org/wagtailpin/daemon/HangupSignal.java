package org.wagtailpin.daemon;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * The signal by which an operator asks a process to read its settings again.
 *
 * <p>The JDK offers signals only in a class that its compiler warns of, so it is found by name.
 */
final class HangupSignal {

  private static final String NAME = "HUP";
  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /**
   * Has a task run at each signal, in place of the end of the process.
   *
   * @param task the task
   */
  static void onHangup(Runnable task) {
    try {
      Class<?> signal = Class.forName(SIGNAL);
      Class<?> handler = Class.forName(HANDLER);
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                task.run();
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance(NAME);
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException e) {
      Logger.error(e, "the signal {} ends this process, as it can't be taken", NAME);
    }
  }
}
