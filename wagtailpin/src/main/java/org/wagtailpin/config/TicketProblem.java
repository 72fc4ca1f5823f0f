package org.wagtailpin.config;

/**
 * An inconsistency in the state that a ticket would produce.
 *
 * @param object the inconsistent object, which is not necessarily part of the ticket
 * @param key the key of the inconsistent member of the object
 * @param found a description of its value
 * @param expected a description of the values that would be valid
 */
public record TicketProblem(ObjectId object, String key, String found, String expected) {

  @Override
  public String toString() {
    return object + " key " + key + ": found " + found + ", expected " + expected;
  }
}
