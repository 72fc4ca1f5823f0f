package org.wagtailpin.config;

import java.util.Optional;

/**
 * State of an object, versioned by the number of the ticket that set it.
 *
 * @param id the object's identity
 * @param ticket the number of the ticket, at least 1; a store revision if the state comes from a
 *     server registration or the operator's document
 * @param value the object, or empty if it was removed
 */
public record VersionedObject(ObjectId id, long ticket, Optional<ConfigObject> value) {}
