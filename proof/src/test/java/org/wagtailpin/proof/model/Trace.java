package org.wagtailpin.proof.model;

import edu.mit.csail.sdg.ast.Sig;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.A4Tuple;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A trace found by the Alloy analyzer, read state by state. States are numbered from 0. */
final class Trace {

  private final A4Solution solution;

  Trace(A4Solution solution) {
    this.solution = solution;
  }

  /** Returns the number of states of the trace. */
  int length() {
    return solution.getTraceLength();
  }

  /** Returns the atoms of a signature in a state. */
  Set<String> atoms(String sig, int state) {
    Set<String> atoms = new HashSet<>();
    for (A4Tuple tuple : solution.eval(sig(sig), state)) {
      atoms.add(tuple.atom(0));
    }
    return atoms;
  }

  /**
   * Returns the atoms of a signature in the state after {@code state}, but not in {@code state}.
   */
  Set<String> addedAtoms(String sig, int state) {
    Set<String> gained = new HashSet<>(atoms(sig, state + 1));
    gained.removeAll(atoms(sig, state));
    return gained;
  }

  /** Returns the value of a field of an atom in a state, or empty if the atom has none. */
  Optional<String> fieldValue(String sig, String field, String atom, int state) {
    for (Sig.Field each : sig(sig).getFields()) {
      if (each.label.equals(field)) {
        for (A4Tuple tuple : solution.eval(each, state)) {
          if (tuple.atom(0).equals(atom)) {
            return Optional.of(tuple.atom(1));
          }
        }
      }
    }
    return Optional.empty();
  }

  private Sig sig(String name) {
    for (Sig sig : solution.getAllReachableSigs()) {
      if (sig.label.equals("this/" + name)) {
        return sig;
      }
    }
    throw new IllegalArgumentException("no such signature in the specification: " + name);
  }
}
