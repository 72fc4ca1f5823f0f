/**
 * Strict reading of JSON with comments: every problem is told with file, line, column and key.
 *
 * <p>Jackson tokenizes the text; the classes here keep the place of each value and turn values into
 * typed fields.
 */
package org.wagtailpin.json;
