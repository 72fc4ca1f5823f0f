package org.wagtailpin.error;

/** The processing step during which an error occurred. */
public enum Step {
  LOAD_SETTINGS("load-settings"),
  READ_REQUEST("read-request"),
  MATCH_ROUTE("match-route"),
  IDENTIFY("identify"),
  CLAIM_KEY("claim-key"),
  ADMIT("admit"),
  PICK_SERVER("pick-server"),
  CONNECT("connect"),
  SEND_REQUEST("send-request"),
  AWAIT_ANSWER("await-answer"),
  RELAY_ANSWER("relay-answer"),
  PROBE("probe"),
  READ_STORE("read-store"),
  WRITE_STORE("write-store"),
  WATCH_STORE("watch-store"),
  KEEP_LEASE("keep-lease"),
  LIST_HOSTS("list-hosts"),
  HEARTBEAT("heartbeat"),
  PULL_CONFIG("pull-config"),
  READ_TICKET("read-ticket"),
  CHECK_TICKET("check-ticket"),
  ACCEPT_TICKET("accept-ticket"),
  SHUT_DOWN("shut-down");

  private final String label;

  Step(String label) {
    this.label = label;
  }

  /** Returns the name used in answers, log lines and metrics. */
  public String label() {
    return label;
  }
}
