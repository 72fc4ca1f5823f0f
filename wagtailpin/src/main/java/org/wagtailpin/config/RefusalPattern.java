package org.wagtailpin.config;

/**
 * Pattern of an answer by which a backend server states that it did not run a request.
 *
 * @param status the HTTP status code, 100 to 599
 * @param headerName the name of a header the answer carries, empty if the status alone is proof
 * @param headerValue the value of that header, compared without regard to case
 */
public record RefusalPattern(int status, String headerName, String headerValue) {}
