package org.wagtailpin.config;

/** An object of the configuration, given whole by a ticket. */
public sealed interface ConfigObject
    permits ConfigService,
        ConfigRoute,
        ConfigServerSet,
        ConfigLink,
        ConfigLimit,
        ConfigCallerGroup,
        ConfigDocument {

  /** Returns the kind of this object. */
  ConfigKind kind();

  /** Returns the name, unique within the kind. */
  String name();

  /** Returns the identity made of kind and name. */
  default ObjectId id() {
    return new ObjectId(kind(), name());
  }
}
