/** Stand-in for the platform's host list, served over HTTP with a configurable lag. */
package org.wagtailpin.standins.hosts;
