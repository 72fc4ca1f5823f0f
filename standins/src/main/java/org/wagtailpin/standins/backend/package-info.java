/** Stand-in of a backend server: slots, a queue, service times and faults, over HTTP. */
package org.wagtailpin.standins.backend;
