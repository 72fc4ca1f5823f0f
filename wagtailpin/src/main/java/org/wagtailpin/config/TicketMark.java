package org.wagtailpin.config;

/**
 * The record of an accepted ticket.
 *
 * @param number the ticket's number
 * @param content the hash of its content
 * @param attempt identifies the attempt that wrote it, so that its operator can tell its own write
 */
public record TicketMark(long number, ContentHash content, String attempt) {}
