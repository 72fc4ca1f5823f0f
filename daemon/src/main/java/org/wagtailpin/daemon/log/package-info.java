/** The form of log lines: one JSON object a line. */
package org.wagtailpin.daemon.log;
