package org.wagtailpin.proof.model;

/**
 * A line of a specification that a check rests on.
 *
 * @param name its name
 * @param line the index of the line
 * @param check the check that fails without it
 */
record Guard(String name, int line, String check) {}
