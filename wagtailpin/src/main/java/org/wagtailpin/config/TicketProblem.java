package org.wagtailpin.config;

/**
 * What is wrong with the state that a ticket would make.
 *
 * @param object the object that is wrong, which the ticket need not name itself
 * @param key the key of the object that is wrong
 * @param found what it holds
 * @param expected what it should hold
 */
public record TicketProblem(ObjectId object, String key, String found, String expected) {

  @Override
  public String toString() {
    return object + " key " + key + ": found " + found + ", expected " + expected;
  }
}
