package lemondock.gateway.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Replaces files so that a reader sees either the old content or the new one, never a part of it.
 */
public final class AtomicFile {
  private static final String TEMPORARY_SUFFIX = ".next";

  private AtomicFile() {}

  /**
   * Writes the content to a temporary file next to the file, then renames it; blocks, so call it
   * off the loops.
   *
   * @throws IOException if the content cannot be written or the file cannot be renamed; in that
   *     case the file is unchanged
   */
  public static void replace(Path file, byte[] content) throws IOException {
    Path temporary = Path.of(file + TEMPORARY_SUFFIX);
    Files.write(temporary, content);
    Files.move(
        temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }
}
