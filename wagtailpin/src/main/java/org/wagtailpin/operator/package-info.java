/** The admin listener for operators and the pages that it serves. */
package org.wagtailpin.operator;
