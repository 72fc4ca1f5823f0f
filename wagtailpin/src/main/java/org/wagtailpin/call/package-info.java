/** The lifecycle of one call: route, claim, placement, attempts, deadline and answer. */
package org.wagtailpin.call;
