package org.wagtailpin.proof.model;

/**
 * A line of a specification without which a check has a counterexample. See {@link Specification}.
 *
 * @param name the name given to the line in its {@code guard:} comment
 * @param line the index of the line in the specification, from 0
 * @param check the name of the check command
 */
record Guard(String name, int line, String check) {}
