/** Small programs that embed coordination parts of the library. */
package org.wagtailpin.examples;
