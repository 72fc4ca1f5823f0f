/**
 * Reads the event logs of entries: what happened to one request and why, or which failures there
 * were. Files of any length are read once, with memory that does not grow with them.
 */
package org.wagtailpin.tools.explain;
