/**
 * Event loops, TCP options and HTTP header conventions. The native epoll transport is used where it
 * is available.
 */
package org.wagtailpin.transport;
