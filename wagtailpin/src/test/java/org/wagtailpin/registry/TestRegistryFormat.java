package org.wagtailpin.registry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.config.ConfigDocument;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;

/**
 * Test format: registrations as {@code state start sequence}, documents as one service name, which
 * a version may follow.
 */
public final class TestRegistryFormat implements RegistryFormat {

  public static final String DOCUMENT = "operator/document";
  public static final String SERVERS = "members/";
  public static final String EVACUATIONS = "operator/evacuated/";

  private static final long RENEWAL_MILLIS = 1_500;

  @Override
  public String documentKey() {
    return DOCUMENT;
  }

  @Override
  public String commonPrefix() {
    return "";
  }

  @Override
  public String serverPrefix() {
    return SERVERS;
  }

  @Override
  public Optional<String> evacuationPrefix() {
    return Optional.of(EVACUATIONS);
  }

  @Override
  public long renewalMillis() {
    return RENEWAL_MILLIS;
  }

  @Override
  public DocumentReadResult readDocument(byte[] value) {
    String text = new String(value, StandardCharsets.UTF_8);
    if (text.isBlank()) {
      return new DocumentReadResult.Unreadable("blank");
    }
    String[] words = text.split(" ", -1);
    ConfigService service = new ConfigService(words[0], true, List.of(), Optional.empty());
    long version = words.length > 1 ? Long.parseLong(words[1]) : 0;
    return new DocumentReadResult.Read(
        new ConfigDocument("document", List.of(service), version), version);
  }

  @Override
  public ServerReadResult readServer(String name, byte[] value) {
    String[] words = new String(value, StandardCharsets.UTF_8).split(" ", -1);
    if (words.length != 3) {
      return new ServerReadResult.Unreadable("not three words");
    }
    ConfigServer server =
        new ConfigServer(
            name,
            "10.0.0.1",
            80,
            "r",
            "d",
            4,
            10,
            words[0].equals("leaving"),
            Long.parseLong(words[1]),
            0,
            Long.parseLong(words[2]));
    return new ServerReadResult.Read(new RegisteredServer("work", server));
  }
}
