package org.wagtailpin.config;

import java.util.Optional;

/**
 * The state of an object and the ticket that gave it.
 *
 * @param id the object's identity
 * @param ticket the number of the ticket, at least 1
 * @param value the object, or empty if the ticket removed it
 */
public record VersionedObject(ObjectId id, long ticket, Optional<ConfigObject> value) {}
