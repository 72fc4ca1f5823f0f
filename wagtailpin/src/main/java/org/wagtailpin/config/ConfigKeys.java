package org.wagtailpin.config;

/** Store key and size limit of the shared state. */
public final class ConfigKeys {

  /** Key of the single value that holds the shared state. */
  public static final String STATE = "config/state";

  /** Maximum size of a store value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1_000_000;

  private ConfigKeys() {}
}
