/** Which entries are live, and each entry's share of the limits that all entries keep together. */
package org.wagtailpin.membership;
