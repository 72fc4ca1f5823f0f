package org.wagtailpin.daemon;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * The signal by which an operator asks a process to read its settings again.
 *
 * <p>The JDK offers signals only in a class that its compiler warns of, so it is found by name.
 */
final class HangupSignal {

  private static final String SIGNAL_NAME = "HUP";
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /**
   * Has a task run at each signal, in place of the end of the process.
   *
   * @param task the task
   */
  static void setHandler(Runnable task) {
    try {
      Class<?> signalClass = Class.forName(SIGNAL_CLASS);
      Class<?> handlerClass = Class.forName(HANDLER_CLASS);
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (self, method, args) -> {
                task.run();
                return null;
              });
      Object hangup = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException e) {
      Logger.error(e, "the signal {} ends this process, as it can't be taken", SIGNAL_NAME);
    }
  }
}
