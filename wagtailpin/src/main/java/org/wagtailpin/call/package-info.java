/** The lifecycle of a call: admission, claim, placement, attempts, deadline and answer. */
package org.wagtailpin.call;
