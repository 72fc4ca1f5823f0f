/** The library's source of time, in milliseconds. */
package org.wagtailpin.clock;
