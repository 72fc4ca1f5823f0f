/**
 * What the store holds besides the project's own keys: backend servers that register themselves,
 * and the operator's whole document. Both are followed and put in force as configuration objects.
 */
package org.wagtailpin.registry;
