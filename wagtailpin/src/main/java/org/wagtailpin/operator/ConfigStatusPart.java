package org.wagtailpin.operator;

import java.util.function.Supplier;
import org.wagtailpin.config.ConfigReport;

/** Part of the status page that describes the active configuration and its source. */
public final class ConfigStatusPart implements StatusPart {

  /**
   * The value of the part; the component names are the JSON keys.
   *
   * @param digest hash of the merged configuration
   * @param highestTicket the highest ticket number in it, 0 if there is none
   * @param ticketFloor the number up to which tickets are closed, 0 if none is
   * @param objects the number of active objects, without removed ones
   * @param source where the newest state came from: none, store or peer
   * @param peer the entry that sent it, empty for other sources
   * @param sinceWallMillis when it became active, in milliseconds since 1970-01-01T00:00:00Z
   */
  public record ConfigStatus(
      String digest,
      long highestTicket,
      long ticketFloor,
      long objects,
      String source,
      String peer,
      long sinceWallMillis) {}

  private final Supplier<ConfigReport> reportSupplier;

  /**
   * Creates the part.
   *
   * @param reportSupplier returns the current report; must be thread-safe
   */
  public ConfigStatusPart(Supplier<ConfigReport> reportSupplier) {
    this.reportSupplier = reportSupplier;
  }

  @Override
  public String name() {
    return "config";
  }

  @Override
  public ConfigStatus current() {
    ConfigReport report = reportSupplier.get();
    return new ConfigStatus(
        report.digest(),
        report.highestTicket(),
        report.ticketFloor(),
        report.objects().stream().filter(object -> !object.removed()).count(),
        report.source(),
        report.peer(),
        report.sinceWallMillis());
  }
}
