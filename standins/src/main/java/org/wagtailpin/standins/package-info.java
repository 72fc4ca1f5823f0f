/** Stand-ins of the outside systems, each a process and embeddable in a test. */
package org.wagtailpin.standins;
