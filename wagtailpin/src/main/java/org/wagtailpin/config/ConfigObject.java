package org.wagtailpin.config;

/** An object of the configuration. A ticket always contains the complete new state of an object. */
public sealed interface ConfigObject
    permits ConfigService,
        ConfigRoute,
        ConfigServerSet,
        ConfigLink,
        ConfigLimit,
        ConfigCallerGroup,
        ConfigDocument,
        ConfigCustomer,
        ConfigEvacuation {

  /** Returns the kind, which is the same for all objects of a type. */
  ConfigKind kind();

  /** Returns the name, unique within the kind. */
  String name();

  /** Returns the identity, which consists of kind and name. */
  default ObjectId id() {
    return new ObjectId(kind(), name());
  }
}
