/** Claims on idempotency keys, so that work which may not be repeated runs at most once. */
package org.wagtailpin.claims;
