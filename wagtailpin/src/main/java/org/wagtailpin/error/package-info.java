/** What an error carries: the step and the peer at which it arose. */
package org.wagtailpin.error;
