package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.error.Fault;

/** Records the decision, and fails on a second one. */
final class RecordingListener implements PlacementListener {

  private Grant grant;
  private Refusal refusal;

  @Override
  public void granted(Grant newGrant) {
    checkFirst();
    grant = newGrant;
  }

  @Override
  public void refused(Refusal newRefusal) {
    checkFirst();
    refusal = newRefusal;
  }

  private void checkFirst() {
    if (grant != null || refusal != null) {
      throw new AssertionError("more than one decision on a request");
    }
  }

  Optional<Grant> grant() {
    return Optional.ofNullable(grant);
  }

  Optional<Fault> fault() {
    return refusal().map(Refusal::fault);
  }

  Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  String server() {
    return grant.server().name();
  }

  boolean undecided() {
    return grant == null && refusal == null;
  }
}
