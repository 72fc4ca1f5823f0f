package org.wagtailpin.config;

/**
 * An evacuated failure domain, whose servers get no further requests until the object is removed.
 *
 * @param failureDomain the name of the failure domain
 */
public record ConfigEvacuation(String failureDomain) implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.EVACUATION;
  }

  @Override
  public String name() {
    return failureDomain;
  }
}
