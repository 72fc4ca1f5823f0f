/** Demonstration that runs a store, entries, backend servers and traffic in one process. */
package org.wagtailpin.tools.demo;
