/** Identification of the customers whose keys requests carry. */
package org.wagtailpin.customer;
