package org.wagtailpin.backend;

import org.wagtailpin.error.Fault;

/**
 * The failure of an exchange that got no complete answer.
 *
 * @param fault the cause
 * @param notRun whether it is proved that the server did not and will not run the request
 */
public record ExchangeFailure(Fault fault, boolean notRun) {}
