package org.wagtailpin.operator;

import java.util.function.Supplier;
import org.wagtailpin.config.ConfigReport;

/** Part of the status page that tells which configuration is in force and where it came from. */
public final class ConfigStatusPart implements StatusPart {

  /**
   * The part's content.
   *
   * @param digest hash of the merged configuration
   * @param highestTicket the highest ticket number in it, 0 if there is none
   * @param ticketFloor the number up to which tickets are closed
   * @param objects how many objects are in force
   * @param source where the newest state came from
   * @param peer the entry that told it, empty for other sources
   * @param sinceWallMillis since when it is in force, in milliseconds since 1970-01-01T00:00:00Z
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
   * @param reportSupplier gives the report as it is now, to any thread
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
