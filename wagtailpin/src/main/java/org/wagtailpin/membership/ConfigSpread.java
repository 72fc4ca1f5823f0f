package org.wagtailpin.membership;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;
import org.wagtailpin.config.ConfigJson;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.ObjectReadResult;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.ConfigObjects;
import org.wagtailpin.entrypeer.generated.ConfigPull;
import org.wagtailpin.entrypeer.generated.ObjectState;
import org.wagtailpin.entrypeer.generated.ObjectVersion;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Spreads configuration between entries: where a heartbeat shows another digest, the objects that
 * are lacking are asked for from its sender, object by object.
 *
 * <p>An answer carries at most {@value #MAX_ANSWER_BYTES} bytes of objects; what is left over is
 * asked for after the next heartbeat. Runs on the control loop.
 */
public final class ConfigSpread implements ConfigWatcher {

  /** Greatest size of the objects in one answer, in bytes. */
  public static final int MAX_ANSWER_BYTES = 1_000_000;

  private static final int MAX_PULLS = 2;
  private static final long PULL_TIMEOUT_MILLIS = 2000;

  private final ConfigMerger merger;
  private final PeerMessenger messenger;
  private final ConfigJson json = new ConfigJson();
  private final Set<String> pulling = new HashSet<>();
  private final Map<String, FruitlessPull> fruitless = new HashMap<>();

  /**
   * A pull that brought nothing new: the other entry lacks something and will ask in its turn.
   *
   * @param own this entry's digest then
   * @param other the other entry's digest then
   */
  private record FruitlessPull(long own, long other) {}

  /**
   * Creates a spread that answers and asks from now on.
   *
   * @param merger holds this entry's configuration and takes what others have
   * @param messenger carries the questions
   */
  public ConfigSpread(ConfigMerger merger, PeerMessenger messenger) {
    this.merger = merger;
    this.messenger = messenger;
    messenger.answer(PeerFrame.BodyCase.CONFIG_PULL, this::answer);
  }

  @Override
  public ConfigStamp stamp() {
    MergedConfig merged = merger.merged();
    return new ConfigStamp(merged.digest(), merged.highestTicket());
  }

  @Override
  public void heard(String entry, ConfigStamp stamp) {
    long own = merger.merged().digest();
    if (stamp.digest() == own) {
      fruitless.remove(entry);
      return;
    }
    boolean known = new FruitlessPull(own, stamp.digest()).equals(fruitless.get(entry));
    if (!known && pulling.size() < MAX_PULLS && pulling.add(entry)) {
      pull(entry, stamp.digest());
    }
  }

  private void pull(String entry, long theirDigest) {
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
            .thenAccept(reply -> take(entry, theirDigest, reply));
  }

  private void take(String entry, long theirDigest, PeerReply reply) {
    pulling.remove(entry);
    if (!(reply instanceof PeerReply.Answered answered) || !answered.frame().hasConfigObjects()) {
      return;
    }
    List<VersionedObject> objects = read(entry, answered.frame().getConfigObjects());
    if (!merger.mergeFromPeer(objects, entry)) {
      fruitless.put(entry, new FruitlessPull(merger.merged().digest(), theirDigest));
    }
  }

  private List<VersionedObject> read(String entry, ConfigObjects objects) {
    List<VersionedObject> states = new ArrayList<>();
    for (ObjectState state : objects.getObjectsList()) {
      Optional<VersionedObject> object = read(state);
      object.ifPresent(states::add);
      if (object.isEmpty()) {
        Logger.warn(
            "object {}/{} of entry {} is unreadable", state.getKind(), state.getName(), entry);
      }
    }
    return states;
  }

  private Optional<VersionedObject> read(ObjectState state) {
    Optional<ConfigKind> kind = ConfigKind.ofLabel(state.getKind());
    if (kind.isEmpty()) {
      return Optional.empty();
    }
    ObjectId id = new ObjectId(kind.get(), state.getName());
    if (state.getRemoved()) {
      return Optional.of(new VersionedObject(id, state.getTicket(), Optional.empty()));
    }
    ObjectReadResult result = json.read(kind.get(), state.getJson().toByteArray());
    if (result instanceof ObjectReadResult.Read read) {
      return Optional.of(new VersionedObject(id, state.getTicket(), Optional.of(read.object())));
    }
    return Optional.empty();
  }

  private CompletableFuture<PeerFrame.Builder> answer(PeerFrame request) {
    Map<ObjectId, Long> have = new HashMap<>();
    for (ObjectVersion version : request.getConfigPull().getHaveList()) {
      ConfigKind.ofLabel(version.getKind())
          .ifPresent(kind -> have.put(new ObjectId(kind, version.getName()), version.getTicket()));
    }
    ConfigObjects objects = write(merger.merged().newerThan(have));
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setConfigObjects(objects));
  }

  private ConfigObjects write(Collection<VersionedObject> states) {
    ConfigObjects.Builder objects = ConfigObjects.newBuilder();
    int bytes = 0;
    for (VersionedObject state : states) {
      ObjectState written = write(state);
      bytes += written.getSerializedSize();
      if (bytes > MAX_ANSWER_BYTES && objects.getObjectsCount() > 0) {
        break;
      }
      objects.addObjects(written);
    }
    return objects.build();
  }

  private ObjectState write(VersionedObject state) {
    ObjectState.Builder written =
        ObjectState.newBuilder()
            .setKind(state.id().kind().label())
            .setName(state.id().name())
            .setTicket(state.ticket())
            .setRemoved(state.value().isEmpty());
    state.value().ifPresent(object -> written.setJson(ByteString.copyFrom(json.write(object))));
    return written.build();
  }
}
