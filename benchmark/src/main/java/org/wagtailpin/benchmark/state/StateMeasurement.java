package org.wagtailpin.benchmark.state;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigJson;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigState;
import org.wagtailpin.config.ConfigStateCodec;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketChecker;

/**
 * Measures the shared configuration state at several sizes, without and with a full history.
 *
 * <p>Prints the size of the value in the store and of the objects as encoded between entries, in
 * bytes, and the median times to encode the state, to decode it, to check one ticket, and to merge
 * and publish all objects.
 */
public final class StateMeasurement {

  private static final int WARM_UP_RUNS = 60;
  private static final int RUNS = 101;
  private static final long SEED = 1;
  private static final List<StateSize> SIZES =
      List.of(
          new StateSize(50, 4),
          new StateSize(100, 8),
          new StateSize(200, 15),
          new StateSize(400, 30),
          new StateSize(850, 64));

  private final Clock clock = new SystemClock();
  private final ConfigStateCodec codec = new ConfigStateCodec();

  private StateMeasurement() {}

  /**
   * Runs the measurement and prints a table.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    System.out.println(
        "servers services history objects  valueBytes  peerBytes  writeMs  readMs  checkMs"
            + "  mergeMs");
    StateMeasurement measurement = new StateMeasurement();
    for (StateSize size : SIZES) {
      measurement.measure(size, false);
      measurement.measure(size, true);
    }
  }

  private void measure(StateSize size, boolean withHistory) {
    ConfigState state = stateOf(size, withHistory);
    byte[] value = codec.write(state);
    ConfigService service = new ConfigService("service-0", false, List.of(), Optional.empty());
    Ticket ticket = new Ticket(state.merged().highestTicket() + 1, List.of(service), List.of());
    TicketChecker checker = new TicketChecker();
    System.out.printf(
        "%7d %8d %7s %7d %11d %10d %8.2f %7.2f %8.2f %8.2f%n",
        size.servers(),
        size.services(),
        withHistory ? "full" : "none",
        state.merged().live().size(),
        value.length,
        peerBytes(state.merged()),
        medianMillis(() -> codec.write(state)),
        medianMillis(() -> codec.read(value)),
        medianMillis(() -> checker.check(ticket, state.merged())),
        medianMillis(() -> mergeAll(state.merged())));
  }

  private static ConfigState stateOf(StateSize size, boolean withHistory) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
    ConfigState state = ConfigState.empty();
    long number = 0;
    if (withHistory) {
      for (int i = 0; i < ConfigState.MAX_MARKS - 1; i++) {
        ObjectId id =
            new ConfigService(
                    "gone-" + i % ConfigState.MAX_REMOVALS, false, List.of(), Optional.empty())
                .id();
        state.apply(new Ticket(++number, List.of(), List.of(id)), attempt(random));
      }
    }
    state.apply(new Ticket(++number, size.objects(), List.of()), attempt(random));
    return state;
  }

  private static String attempt(UniformRandomProvider random) {
    return Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX);
  }

  private static long peerBytes(MergedConfig merged) {
    ConfigJson json = new ConfigJson();
    long bytes = 0;
    for (ConfigObject object : merged.live()) {
      bytes += json.write(object).length;
    }
    return bytes;
  }

  private static boolean mergeAll(MergedConfig from) {
    MergedConfig merged = new MergedConfig();
    merged.mergeAll(from.objects());
    return new PublishedConfig().publish(merged);
  }

  private double medianMillis(Runnable work) {
    for (int run = 0; run < WARM_UP_RUNS; run++) {
      work.run();
    }
    double[] millis = new double[RUNS];
    for (int run = 0; run < RUNS; run++) {
      double start = clock.exactMillis();
      work.run();
      millis[run] = clock.exactMillis() - start;
    }
    Arrays.sort(millis);
    return millis[RUNS / 2];
  }
}
