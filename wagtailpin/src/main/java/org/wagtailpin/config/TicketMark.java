package org.wagtailpin.config;

/**
 * Record of an accepted ticket in the shared state.
 *
 * @param number the ticket's number
 * @param content the hash of its content, by which an offer of the same ticket is recognized
 * @param attempt identifier of the attempt that wrote it, by which an operator whose answer was
 *     lost recognizes its own write
 */
public record TicketMark(long number, ContentHash content, String attempt) {}
