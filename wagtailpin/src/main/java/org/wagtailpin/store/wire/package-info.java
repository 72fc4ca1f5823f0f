/** HTTP protocol of the store, shared by the client and the stand-in store server. */
package org.wagtailpin.store.wire;
