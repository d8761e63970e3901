package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each file of the package stays short enough to be read. */
class ShapeTest {
  private static final Path PACKAGE = Path.of("src/main/java/lemondock/policy");
  private static final int MOST_LINES = 350;
  private static final int WIDEST = 100;

  @Test
  void eachFileIsShortAndNarrow() throws IOException {
    try (Stream<Path> files = Files.list(PACKAGE)) {
      for (Path file : files.toList()) {
        List<String> lines = Files.readAllLines(file);
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= MOST_LINES, file + ": " + filled + " lines that are not blank");
        assertEquals(
            List.of(),
            lines.stream().filter(line -> line.length() > WIDEST).toList(),
            () -> "" + file);
      }
    }
  }

  @Test
  void theEntryPointNamesItsInterface() throws IOException {
    assertTrue(
        Files.readAllLines(PACKAGE.resolve("Control.java")).stream()
            .limit(40)
            .anyMatch(line -> line.contains("RequestRouter.java")));
  }
}
