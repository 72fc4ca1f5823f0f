/** Command-line tools for operators. */
package org.wagtailpin.tools;
