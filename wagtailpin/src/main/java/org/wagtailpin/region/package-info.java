/** Regions in which requests may be run. */
package org.wagtailpin.region;
