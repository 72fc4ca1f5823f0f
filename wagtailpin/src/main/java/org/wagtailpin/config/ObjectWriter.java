package org.wagtailpin.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Writes configuration objects in their canonical JSON form. Thread-safe. */
final class ObjectWriter {

  private static final JsonFactory FACTORY = new JsonFactory();

  byte[] write(ConfigObject object) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      write(object, out);
    } catch (IOException e) {
      throw new UncheckedIOException("failed to write JSON to memory", e);
    }
    return bytes.toByteArray();
  }

  void write(ConfigObject object, JsonGenerator out) throws IOException {
    out.writeStartObject();
    out.writeStringField(ObjectFieldsReader.KIND, object.kind().label());
    out.writeStringField("name", object.name());
    if (object instanceof ConfigService service) {
      writeService(service, out);
    } else if (object instanceof ConfigRoute route) {
      writeRoute(route, out);
    } else if (object instanceof ConfigServerSet set) {
      writeServerSet(set, out);
    } else if (object instanceof ConfigLink link) {
      writeLink(link, out);
    } else if (object instanceof ConfigLimit limit) {
      writeLimit(limit, out);
    } else if (object instanceof ConfigCallerGroup group) {
      writeCallerGroup(group, out);
    } else if (object instanceof ConfigDocument document) {
      writeDocument(document, out);
    } else if (object instanceof ConfigCustomer customer) {
      writeCustomer(customer, out);
    }
    out.writeEndObject();
  }

  private static void writeService(ConfigService service, JsonGenerator out) throws IOException {
    out.writeBooleanField("echoesAttempt", service.echoesAttempt());
    out.writeArrayFieldStart("refusals");
    for (RefusalPattern refusal : service.refusals()) {
      out.writeStartObject();
      out.writeNumberField("status", refusal.status());
      if (!refusal.headerName().isEmpty()) {
        out.writeStringField("headerName", refusal.headerName());
        out.writeStringField("headerValue", refusal.headerValue());
      }
      out.writeEndObject();
    }
    out.writeEndArray();
    if (service.probePath().isPresent()) {
      out.writeStringField("probePath", service.probePath().get());
    }
    if (service.connections().isPresent()) {
      out.writeNumberField("connections", service.connections().get());
    }
    if (service.slowStartMillis().isPresent()) {
      out.writeNumberField("slowStartMillis", service.slowStartMillis().get());
    }
    if (service.warmupPerSecond().isPresent()) {
      out.writeNumberField("warmupPerSecond", service.warmupPerSecond().get());
    }
  }

  private static void writeRoute(ConfigRoute route, JsonGenerator out) throws IOException {
    if (route.host().isPresent()) {
      out.writeStringField("host", route.host().get());
    }
    out.writeStringField("pathPrefix", route.pathPrefix());
    writeTexts("methods", new TreeSet<>(route.methods()), out);
    out.writeStringField("service", route.service());
    if (route.repeatable().isPresent()) {
      out.writeBooleanField("repeatable", route.repeatable().get());
    }
    out.writeNumberField("deadlineMillis", route.deadlineMillis());
    out.writeStringField("keyRule", route.keyRule().label());
    out.writeBooleanField("mayWait", route.mayWait());
    writeBounds(route, out);
  }

  private static void writeBounds(ConfigRoute route, JsonGenerator out) throws IOException {
    if (!route.split().isEmpty()) {
      out.writeArrayFieldStart("split");
      for (WeightedService part : route.split()) {
        out.writeStartObject();
        out.writeStringField("service", part.service());
        out.writeNumberField("weight", part.weight());
        out.writeEndObject();
      }
      out.writeEndArray();
    }
    if (route.maxAttempts().isPresent()) {
      out.writeNumberField("maxAttempts", route.maxAttempts().get());
    }
    if (route.targetLatencyMillis().isPresent()) {
      out.writeNumberField("targetLatencyMillis", route.targetLatencyMillis().get());
    }
    if (route.priority() != 0) {
      out.writeNumberField("priority", route.priority());
    }
    if (route.publicAccess()) {
      out.writeBooleanField("publicAccess", true);
    }
    if (!route.allowedRegions().isEmpty()) {
      writeTexts("allowedRegions", route.allowedRegions(), out);
    }
  }

  private static void writeServerSet(ConfigServerSet set, JsonGenerator out) throws IOException {
    out.writeStringField("service", set.service());
    out.writeArrayFieldStart("servers");
    for (ConfigServer server : set.servers()) {
      out.writeStartObject();
      out.writeStringField("name", server.name());
      out.writeStringField("address", server.address());
      out.writeNumberField("port", server.port());
      out.writeStringField("region", server.region());
      out.writeStringField("failureDomain", server.failureDomain());
      out.writeNumberField("slots", server.slots());
      out.writeNumberField("connections", server.connections());
      out.writeBooleanField("leaving", server.leaving());
      if (server.startedMillis() != 0) {
        out.writeNumberField("startedMillis", server.startedMillis());
      }
      if (server.slowStartMillis() != 0) {
        out.writeNumberField("slowStartMillis", server.slowStartMillis());
      }
      if (server.sequence() != 0) {
        out.writeNumberField("sequence", server.sequence());
      }
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  private static void writeLink(ConfigLink link, JsonGenerator out) throws IOException {
    out.writeStringField("regionA", link.regionA());
    out.writeStringField("regionB", link.regionB());
    out.writeNumberField("oneWayMillis", link.oneWayMillis());
    out.writeNumberField("bytesPerSecond", link.bytesPerSecond());
    out.writeNumberField("probesPerSecond", link.probesPerSecond());
  }

  private static void writeLimit(ConfigLimit limit, JsonGenerator out) throws IOException {
    if (limit.service().isPresent()) {
      out.writeStringField("service", limit.service().get());
    }
    out.writeObjectFieldStart("values");
    for (Map.Entry<String, Double> value : byLabel(limit).entrySet()) {
      out.writeNumberField(value.getKey(), value.getValue());
    }
    out.writeEndObject();
  }

  // Sorted by label, so that the canonical form does not depend on the order of the enum.
  private static Map<String, Double> byLabel(ConfigLimit limit) {
    Map<String, Double> values = new TreeMap<>();
    limit.values().forEach((tunable, value) -> values.put(tunable.label(), value));
    return values;
  }

  private static void writeCallerGroup(ConfigCallerGroup group, JsonGenerator out)
      throws IOException {
    out.writeNumberField("weight", group.weight());
    writeTexts("addressBlocks", group.addressBlocks(), out);
  }

  private static void writeCustomer(ConfigCustomer customer, JsonGenerator out) throws IOException {
    writeTexts("keys", customer.keys(), out);
    if (customer.priority().isPresent()) {
      out.writeNumberField("priority", customer.priority().get());
    }
    out.writeNumberField("ratePerSecond", customer.ratePerSecond());
    out.writeNumberField("burst", customer.burst());
    writeTexts("allowedRegions", customer.allowedRegions(), out);
  }

  private void writeDocument(ConfigDocument document, JsonGenerator out) throws IOException {
    // Left out if there is none, as entries of earlier builds reject members unknown to them.
    if (document.version() > 0) {
      out.writeNumberField("version", document.version());
    }
    out.writeArrayFieldStart("objects");
    for (ConfigObject object : document.objects()) {
      write(object, out);
    }
    out.writeEndArray();
  }

  private static void writeTexts(String key, Collection<String> texts, JsonGenerator out)
      throws IOException {
    out.writeArrayFieldStart(key);
    for (String text : texts) {
      out.writeString(text);
    }
    out.writeEndArray();
  }
}
