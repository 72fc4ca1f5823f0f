package org.wagtailpin.call;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Serializes problems as {@code application/problem+json}, RFC 9457. */
public final class ProblemBody {

  /** Value of the Content-Type header that belongs to the body. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final JsonFactory JSON = new JsonFactory();

  private ProblemBody() {}

  /**
   * Serializes a problem.
   *
   * @param problem the problem
   * @param requestId the identifier of the request, empty if it has none
   * @return the JSON document in UTF-8
   */
  public static byte[] write(Problem problem, String requestId) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeStringField("type", "about:blank");
      json.writeStringField("title", HttpResponseStatus.valueOf(problem.status()).reasonPhrase());
      json.writeNumberField("status", problem.status());
      json.writeStringField("detail", problem.fault().detail());
      json.writeStringField("outcome", problem.outcome().label());
      json.writeStringField("step", problem.fault().step().label());
      json.writeStringField("peer", problem.fault().peer().label());
      if (!problem.fault().peerName().isEmpty()) {
        json.writeStringField("peerName", problem.fault().peerName());
      }
      if (!requestId.isEmpty()) {
        json.writeStringField("requestId", requestId);
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }
}
