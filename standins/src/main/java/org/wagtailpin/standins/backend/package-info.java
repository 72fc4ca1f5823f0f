/** HTTP stand-in for a backend server, with slots, a queue, service times and faults. */
package org.wagtailpin.standins.backend;
