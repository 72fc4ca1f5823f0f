/** In-memory store, used by the stand-in store server and as a fake in tests. */
package org.wagtailpin.store.memory;
