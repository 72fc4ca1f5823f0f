package org.wagtailpin.daemon;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * The SIGHUP signal, by which an operator makes a process reload its settings.
 *
 * <p>The JDK handles signals only in {@code sun.misc.Signal}, whose use the compiler warns about,
 * so the class is loaded by reflection.
 */
final class HangupSignal {

  private static final String SIGNAL_NAME = "HUP";
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /**
   * Registers a task that runs on each SIGHUP instead of the default action, which ends the
   * process. If the handler can't be registered, an error is logged and the default action remains.
   *
   * @param task the task, run on a thread of the JVM
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
      Logger.error(e, "cannot register a handler for signal {}; it ends this process", SIGNAL_NAME);
    }
  }
}
