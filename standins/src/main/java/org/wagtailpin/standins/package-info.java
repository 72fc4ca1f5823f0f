/** Stand-ins for external systems, runnable as processes or embedded in tests. */
package org.wagtailpin.standins;
