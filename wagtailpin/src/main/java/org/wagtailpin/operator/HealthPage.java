package org.wagtailpin.operator;

/** Page that tells that the process is alive. */
public final class HealthPage implements AdminPage {

  private static final int OK = 200;

  @Override
  public String path() {
    return "/healthz";
  }

  @Override
  public AdminAnswer answer() {
    return AdminAnswer.text(OK, "alive\n");
  }
}
