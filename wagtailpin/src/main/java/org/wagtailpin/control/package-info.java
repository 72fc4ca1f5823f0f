/** The one thread that owns control state, and its stand-in for tests in controlled time. */
package org.wagtailpin.control;
