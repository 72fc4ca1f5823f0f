/** Live entries of the fleet, and each entry's share of fleet-wide limits. */
package org.wagtailpin.membership;
