/** Log output: one JSON object per line. */
package org.wagtailpin.daemon.log;
