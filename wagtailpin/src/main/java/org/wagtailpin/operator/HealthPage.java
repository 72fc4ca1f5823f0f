package org.wagtailpin.operator;

/** Liveness page: always answers with status 200 while the process can serve requests. */
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
