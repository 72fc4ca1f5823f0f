package org.wagtailpin.operator;

import java.util.Optional;

/** Readiness page: status 200 if the entry accepts requests from callers, 503 otherwise. */
public final class ReadyPage implements AdminPage {

  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final String DEFAULT_PATH = "/readyz";

  private final String path;
  private final Readiness readiness;

  /**
   * Creates the page at the default path {@code /readyz}.
   *
   * @param readiness the readiness of the entry, checked for each request
   */
  public ReadyPage(Readiness readiness) {
    this(DEFAULT_PATH, readiness);
  }

  /**
   * Creates the page at another path.
   *
   * @param path the URL path, which starts with a slash
   * @param readiness the readiness of the entry, checked for each request
   */
  public ReadyPage(String path, Readiness readiness) {
    this.path = path;
    this.readiness = readiness;
  }

  @Override
  public String path() {
    return path;
  }

  @Override
  public AdminAnswer answer() {
    Optional<String> notReadyReason = readiness.notReadyReason();
    return notReadyReason.isEmpty()
        ? AdminAnswer.text(OK, "ready\n")
        : AdminAnswer.text(SERVICE_UNAVAILABLE, "not ready: " + notReadyReason.get() + "\n");
  }
}
