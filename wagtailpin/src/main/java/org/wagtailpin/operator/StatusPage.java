package org.wagtailpin.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Page of the entry's state in JSON, one key for each part. */
public final class StatusPage implements AdminPage {

  private final List<StatusPart> parts;

  /**
   * Creates the page.
   *
   * @param parts the parts in their order
   */
  public StatusPage(List<StatusPart> parts) {
    this.parts = List.copyOf(parts);
  }

  @Override
  public String path() {
    return "/status";
  }

  @Override
  public AdminAnswer answer() {
    // Made here, as an entry that is starting has no use for it yet.
    ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    ObjectNode status = mapper.createObjectNode();
    for (StatusPart part : parts) {
      status.set(part.name(), mapper.valueToTree(part.current()));
    }
    try {
      return AdminAnswer.json(mapper.writeValueAsBytes(status));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a status part has no JSON form", e);
    }
  }
}
