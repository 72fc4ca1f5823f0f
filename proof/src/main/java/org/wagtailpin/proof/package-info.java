/** The specification of the core protocol and what maps it to the code. */
package org.wagtailpin.proof;
