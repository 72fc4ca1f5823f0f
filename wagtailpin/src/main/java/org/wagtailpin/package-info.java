/** Root of the wagtailpin library: a load balancer and the coordination parts it is built from. */
package org.wagtailpin;
