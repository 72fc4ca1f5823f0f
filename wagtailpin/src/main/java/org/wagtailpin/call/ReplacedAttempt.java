package org.wagtailpin.call;

import org.wagtailpin.error.Fault;

/**
 * An attempt that ends once another server is granted in its place.
 *
 * @param attempt the attempt
 * @param fault why it ends
 */
record ReplacedAttempt(Attempt attempt, Fault fault) {}
