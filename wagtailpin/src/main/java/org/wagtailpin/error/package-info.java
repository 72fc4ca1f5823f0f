/** Description of errors by the processing step and the peer at which they occurred. */
package org.wagtailpin.error;
