package org.wagtailpin.routing;

import java.util.EnumMap;
import java.util.Map;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.Tunable;

/** The tunables in force for one service, looked up once for each configuration. */
final class RoutingSettings {

  private final Map<Tunable, Double> values = new EnumMap<>(Tunable.class);

  RoutingSettings(ConfigSnapshot snapshot, String service) {
    for (Tunable tunable : Tunable.values()) {
      values.put(tunable, snapshot.tunable(tunable, service));
    }
  }

  double value(Tunable tunable) {
    return values.get(tunable);
  }
}
