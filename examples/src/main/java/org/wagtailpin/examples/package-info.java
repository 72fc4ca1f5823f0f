/** Examples that embed the coordination components of the library. */
package org.wagtailpin.examples;
