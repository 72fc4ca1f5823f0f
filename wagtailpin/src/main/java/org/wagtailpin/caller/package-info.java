/** The listeners for callers: HTTP/1.1 connections, their limits, and their orderly end. */
package org.wagtailpin.caller;
