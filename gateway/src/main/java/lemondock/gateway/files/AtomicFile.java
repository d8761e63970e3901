package lemondock.gateway.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Replaces files so that a reader sees the old content or the new one, never a part. */
public final class AtomicFile {
  private static final String TEMPORARY_SUFFIX = ".next";

  private AtomicFile() {}

  /**
   * Writes beside the file and moves the result in its place; blocks, so call it off the loops.
   *
   * @throws IOException if the content cannot be written or moved; the file is as it was
   */
  public static void replace(Path file, byte[] content) throws IOException {
    Path temporary = Path.of(file + TEMPORARY_SUFFIX);
    Files.write(temporary, content);
    Files.move(
        temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }
}
