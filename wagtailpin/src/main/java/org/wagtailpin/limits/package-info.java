/** What may run at all: admission, queues, fair shares and the budgets of retries and probes. */
package org.wagtailpin.limits;
