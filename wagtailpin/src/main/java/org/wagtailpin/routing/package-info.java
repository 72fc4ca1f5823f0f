/** Where each call runs: which server, when, and how often. */
package org.wagtailpin.routing;
