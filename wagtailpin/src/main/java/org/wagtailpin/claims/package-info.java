/** Claims on idempotency keys, so that work that must not be repeated runs at most once. */
package org.wagtailpin.claims;
