/** The operators as a peer: the admin listener and the pages that it serves. */
package org.wagtailpin.operator;
