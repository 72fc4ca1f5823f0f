package org.wagtailpin.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.ConfigObjects;
import org.wagtailpin.entrypeer.generated.ConfigPull;
import org.wagtailpin.entrypeer.generated.ObjectVersion;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Replicates configuration between entries. When a heartbeat carries a digest that differs from
 * this entry's, the objects that are missing or outdated here are pulled from its sender.
 *
 * <p>A reply carries at most {@value #MAX_ANSWER_BYTES} bytes of objects, but always one object if
 * there is any; the rest is pulled after a later heartbeat. Confined to the control loop.
 */
public final class PullConfigSync implements ConfigSync {

  /** Maximum size of the objects in one reply, in bytes, if there is more than one object. */
  public static final int MAX_ANSWER_BYTES = 1_000_000;

  private static final int MAX_CONCURRENT_PULLS = 2;
  private static final long PULL_TIMEOUT_MILLIS = 2000;

  private final ConfigMerger merger;
  private final PeerMessenger messenger;
  private final ConfigObjectCodec codec = new ConfigObjectCodec();
  private final Set<String> pendingPulls = new HashSet<>();
  private final Map<String, EmptyPull> emptyPulls = new HashMap<>();

  /**
   * Digests at a pull that returned nothing new. The peer then lacks objects that this entry has
   * and pulls them itself, so the pull is not repeated while both digests stay the same.
   *
   * @param ownDigest digest of this entry's configuration
   * @param peerDigest digest of the peer's configuration
   */
  private record EmptyPull(long ownDigest, long peerDigest) {}

  /**
   * Registers the handler of pull requests with the messenger.
   *
   * @param merger holds this entry's configuration and merges objects from peers
   * @param messenger sends and receives pull requests
   */
  public PullConfigSync(ConfigMerger merger, PeerMessenger messenger) {
    this.merger = merger;
    this.messenger = messenger;
    messenger.setHandler(PeerFrame.BodyCase.CONFIG_PULL, this::onPull);
  }

  @Override
  public ConfigStamp stamp() {
    MergedConfig merged = merger.merged();
    return new ConfigStamp(merged.digest(), merged.highestTicket());
  }

  @Override
  public void onPeerStamp(String entry, ConfigStamp stamp) {
    long own = merger.merged().digest();
    if (stamp.digest() == own) {
      emptyPulls.remove(entry);
      return;
    }
    boolean alreadyTried = new EmptyPull(own, stamp.digest()).equals(emptyPulls.get(entry));
    if (!alreadyTried && pendingPulls.size() < MAX_CONCURRENT_PULLS && pendingPulls.add(entry)) {
      pull(entry, stamp.digest());
    }
  }

  private void pull(String entry, long receivedDigest) {
    ConfigPull.Builder pull = ConfigPull.newBuilder();
    for (VersionedObject object : merger.merged().objects()) {
      pull.addHave(
          ObjectVersion.newBuilder()
              .setKind(object.id().kind().label())
              .setName(object.id().name())
              .setTicket(object.ticket()));
    }
    var unused =
        messenger
            .request(entry, PeerFrame.newBuilder().setConfigPull(pull), PULL_TIMEOUT_MILLIS)
            .thenAccept(reply -> onPullReply(entry, receivedDigest, reply));
  }

  private void onPullReply(String entry, long receivedDigest, PeerReply reply) {
    pendingPulls.remove(entry);
    if (!(reply instanceof PeerReply.Answered answered) || !answered.frame().hasConfigObjects()) {
      return;
    }
    List<VersionedObject> objects =
        codec.decode(entry, answered.frame().getConfigObjects().getObjectsList());
    if (!merger.mergeFromPeer(objects, entry)) {
      emptyPulls.put(entry, new EmptyPull(merger.merged().digest(), receivedDigest));
    }
  }

  private CompletableFuture<PeerFrame.Builder> onPull(PeerFrame request) {
    Map<ObjectId, Long> have = new HashMap<>();
    for (ObjectVersion version : request.getConfigPull().getHaveList()) {
      ConfigKind.ofLabel(version.getKind())
          .ifPresent(kind -> have.put(new ObjectId(kind, version.getName()), version.getTicket()));
    }
    ConfigObjects objects = codec.encode(merger.merged().newerThan(have), MAX_ANSWER_BYTES);
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setConfigObjects(objects));
  }
}
