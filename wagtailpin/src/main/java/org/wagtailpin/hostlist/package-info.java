/** Client of the platform's host list, which reports live and leaving hosts and may be stale. */
package org.wagtailpin.hostlist;
