/** Listeners for callers: HTTP/1.1 connections, their limits, and graceful shutdown. */
package org.wagtailpin.caller;
