package org.wagtailpin.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the files that are named in a command's arguments. */
final class FileText {

  private FileText() {}

  /** Returns a file's bytes, or prints an error and returns empty if it cannot be read. */
  static Optional<byte[]> read(String file, Console console) {
    try {
      return Optional.of(Files.readAllBytes(Path.of(file)));
    } catch (NoSuchFileException e) {
      console.printError("%s: found no such file, expected a readable file", file);
    } catch (IOException | InvalidPathException e) {
      console.printError("%s: found %s, expected a readable file", file, e.getMessage());
    }
    return Optional.empty();
  }
}
