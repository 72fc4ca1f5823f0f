package org.wagtailpin.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.entrypeer.generated.ConfigPush;
import org.wagtailpin.membership.ConfigObjectCodec;
import org.wagtailpin.membership.PullConfigSync;

/** Encodes the changes of the configuration since the last push. Confined to the control loop. */
final class ConfigPusher {

  private final ConfigMerger merger;
  private final ConfigObjectCodec codec = new ConfigObjectCodec();
  private Map<ObjectId, Long> pushed = Map.of();

  ConfigPusher(ConfigMerger merger) {
    this.merger = merger;
  }

  /** Regards the present configuration as pushed. */
  void restart() {
    pushed = tickets();
  }

  /** Returns the changes since the last call, as a message without the sender's state. */
  ConfigPush.Builder changes() {
    List<VersionedObject> newer = merger.merged().newerThan(pushed);
    pushed = tickets();
    return ConfigPush.newBuilder()
        .addAllObjects(codec.encode(newer, PullConfigSync.MAX_ANSWER_BYTES).getObjectsList());
  }

  private Map<ObjectId, Long> tickets() {
    Map<ObjectId, Long> tickets = new HashMap<>();
    for (VersionedObject object : merger.merged().objects()) {
      tickets.put(object.id(), object.ticket());
    }
    return tickets;
  }
}
