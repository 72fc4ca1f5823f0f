/** A network between entries held in memory, with faults, for tests in controlled time. */
package org.wagtailpin.entrypeer.memory;
