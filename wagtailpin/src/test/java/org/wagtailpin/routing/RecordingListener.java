package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.error.Fault;

/** Records the decision, and fails on a second one. */
final class RecordingListener implements PlacementListener {

  private Grant grant;
  private Fault fault;

  @Override
  public void granted(Grant newGrant) {
    checkFirst();
    grant = newGrant;
  }

  @Override
  public void refused(Fault newFault) {
    checkFirst();
    fault = newFault;
  }

  private void checkFirst() {
    if (grant != null || fault != null) {
      throw new AssertionError("more than one decision on a request");
    }
  }

  Optional<Grant> grant() {
    return Optional.ofNullable(grant);
  }

  Optional<Fault> fault() {
    return Optional.ofNullable(fault);
  }

  String server() {
    return grant.server().name();
  }

  boolean undecided() {
    return grant == null && fault == null;
  }
}
