/**
 * Reads the event logs of entries and explains what happened to one request and why, or counts
 * failures. Each file is read once, in memory that does not grow with the length of the file.
 */
package org.wagtailpin.tools.explain;
