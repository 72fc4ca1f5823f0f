/**
 * Budgets of requests that all entries share: each failure domain owns a share, which its watcher
 * grants in units to the entries that ask for them.
 */
package org.wagtailpin.budget;
