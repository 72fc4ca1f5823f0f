/** Placement of calls: on which server each call runs, when, and in how many attempts. */
package org.wagtailpin.routing;
