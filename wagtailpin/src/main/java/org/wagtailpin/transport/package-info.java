/** Event loops and socket channels, native where the machine has them. */
package org.wagtailpin.transport;
