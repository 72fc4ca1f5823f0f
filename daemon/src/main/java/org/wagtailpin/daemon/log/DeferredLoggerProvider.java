package org.wagtailpin.daemon.log;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Passes the warnings and errors that libraries log through SLF4J to tinylog.
 *
 * <p>tinylog is loaded with the first of them. Its own provider loads it with the first logger,
 * which took a fifth of the processor time of an entry's start.
 */
public final class DeferredLoggerProvider implements SLF4JServiceProvider {

  private static final String API_VERSION = "2.0.99";

  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final MDCAdapter contexts = new NOPMDCAdapter();

  /** Creates the provider; called by SLF4J. */
  public DeferredLoggerProvider() {}

  @Override
  public ILoggerFactory getLoggerFactory() {
    return DeferredLogger::new;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return contexts;
  }

  @Override
  public String getRequestedApiVersion() {
    return API_VERSION;
  }

  @Override
  public void initialize() {}
}
