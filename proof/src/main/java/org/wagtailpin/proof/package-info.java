/** Alloy specification of the core protocol, with the tests that relate it to the code. */
package org.wagtailpin.proof;
