package org.wagtailpin.daemon.log;

import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.tinylog.Logger;

/** Logger of a library class. Warnings and errors go to tinylog, all else is discarded. */
final class DeferredLogger extends LegacyAbstractLogger {

  private static final long serialVersionUID = 1L;

  DeferredLogger(String name) {
    this.name = name;
  }

  @Override
  public boolean isTraceEnabled() {
    return false;
  }

  @Override
  public boolean isDebugEnabled() {
    return false;
  }

  @Override
  public boolean isInfoEnabled() {
    return false;
  }

  @Override
  public boolean isWarnEnabled() {
    return true;
  }

  @Override
  public boolean isErrorEnabled() {
    return true;
  }

  @Override
  protected String getFullyQualifiedCallerName() {
    return DeferredLogger.class.getName();
  }

  @Override
  protected void handleNormalizedLoggingCall(
      Level level, Marker marker, String message, Object[] arguments, Throwable cause) {
    String text = name + ": " + MessageFormatter.basicArrayFormat(message, arguments);
    if (level == Level.ERROR) {
      Logger.error(cause, text);
    } else {
      Logger.warn(cause, text);
    }
  }
}
