/** A store held in memory: the engine of the stand-in process, and the fake for tests. */
package org.wagtailpin.store.memory;
