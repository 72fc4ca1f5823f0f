/**
 * Strict reading of JSON with comments: every problem is reported with file, line, column and key.
 *
 * <p>Jackson tokenizes the text. The classes of this package keep the position of each value and
 * convert values to the expected types. {@link org.wagtailpin.json.JsonTree} reads plain JSON.
 */
package org.wagtailpin.json;
