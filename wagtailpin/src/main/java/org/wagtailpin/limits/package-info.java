/** Limits on the work that may run: fair queues, and the budgets of retries, hedges and probes. */
package org.wagtailpin.limits;
