package org.wagtailpin.backend;

import org.wagtailpin.error.Fault;

/**
 * An exchange that brought no whole answer.
 *
 * @param fault what happened
 * @param notRun whether it is proved that the server did not run the request
 */
public record ExchangeFailure(Fault fault, boolean notRun) {}
