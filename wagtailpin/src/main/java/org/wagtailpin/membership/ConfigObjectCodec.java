package org.wagtailpin.membership;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;
import org.wagtailpin.config.ConfigJson;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.ObjectReadResult;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.entrypeer.generated.ConfigObjects;
import org.wagtailpin.entrypeer.generated.ObjectState;

/** Conversion of configuration objects to and from messages between entries. */
public final class ConfigObjectCodec {

  private final ConfigJson json = new ConfigJson();

  /**
   * Encodes states up to a size, but always one if there is any.
   *
   * @param states the states, in the order in which to merge them
   * @param maxBytes the maximum size of more than one state, in bytes
   */
  public ConfigObjects encode(Collection<VersionedObject> states, int maxBytes) {
    ConfigObjects.Builder objects = ConfigObjects.newBuilder();
    int bytes = 0;
    for (VersionedObject state : states) {
      ObjectState encoded = encode(state);
      bytes += encoded.getSerializedSize();
      if (bytes > maxBytes && objects.getObjectsCount() > 0) {
        break;
      }
      objects.addObjects(encoded);
    }
    return objects.build();
  }

  private ObjectState encode(VersionedObject state) {
    ObjectState.Builder encoded =
        ObjectState.newBuilder()
            .setKind(state.id().kind().label())
            .setName(state.id().name())
            .setTicket(state.ticket())
            .setRemoved(state.value().isEmpty());
    state.value().ifPresent(object -> encoded.setJson(ByteString.copyFrom(json.write(object))));
    return encoded.build();
  }

  /**
   * Decodes states; those that cannot be read are logged and left out.
   *
   * @param entry the entry that sent them
   * @param states the messages
   */
  public List<VersionedObject> decode(String entry, List<ObjectState> states) {
    List<VersionedObject> decoded = new ArrayList<>();
    for (ObjectState state : states) {
      Optional<VersionedObject> object = decode(state);
      object.ifPresent(decoded::add);
      if (object.isEmpty()) {
        Logger.warn(
            "ignored configuration object {}/{} from entry {}: unknown kind or invalid content",
            state.getKind(),
            state.getName(),
            entry);
      }
    }
    return decoded;
  }

  private Optional<VersionedObject> decode(ObjectState state) {
    Optional<ConfigKind> kind = ConfigKind.ofLabel(state.getKind());
    if (kind.isEmpty()) {
      return Optional.empty();
    }
    ObjectId id = new ObjectId(kind.get(), state.getName());
    if (state.getRemoved()) {
      return Optional.of(new VersionedObject(id, state.getTicket(), Optional.empty()));
    }
    ObjectReadResult result = json.readFromPeer(kind.get(), state.getJson().toByteArray());
    if (result instanceof ObjectReadResult.Read read) {
      return Optional.of(new VersionedObject(id, state.getTicket(), Optional.of(read.object())));
    }
    return Optional.empty();
  }
}
