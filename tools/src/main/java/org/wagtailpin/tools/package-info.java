/** The operators' command-line tools. */
package org.wagtailpin.tools;
