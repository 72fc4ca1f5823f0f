/** The HTTP form of the store's calls, shared by the client and the stand-in. */
package org.wagtailpin.store.wire;
