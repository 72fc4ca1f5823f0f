/** In-memory network between entries with fault injection, for tests with a manual clock. */
package org.wagtailpin.entrypeer.memory;
