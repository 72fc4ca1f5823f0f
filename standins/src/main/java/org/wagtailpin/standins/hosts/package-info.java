/** Stand-in for the platform's host list, over HTTP, with a lag that can be set. */
package org.wagtailpin.standins.hosts;
