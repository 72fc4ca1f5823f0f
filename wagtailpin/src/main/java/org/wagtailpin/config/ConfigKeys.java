package org.wagtailpin.config;

/** Where the shared state stands in the store. */
public final class ConfigKeys {

  /** The key of the shared state. */
  public static final String STATE = "config/state";

  /** Greatest size of a value in the store, in bytes. */
  public static final int MAX_VALUE_BYTES = 1_000_000;

  private ConfigKeys() {}
}
