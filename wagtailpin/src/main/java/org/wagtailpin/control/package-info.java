/** The thread that owns the control state, and its replacement for tests in simulated time. */
package org.wagtailpin.control;
