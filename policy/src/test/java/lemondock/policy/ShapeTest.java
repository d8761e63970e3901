package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks limits on the length and width of the source files of the package. */
class ShapeTest {
  private static final Path PACKAGE = Path.of("src/main/java/lemondock/policy");
  private static final int MAX_NON_BLANK_LINES = 350;
  private static final int MAX_LINE_WIDTH = 100;

  @Test
  void sourceFilesStayWithinLengthAndWidthLimits() throws IOException {
    try (Stream<Path> files = Files.list(PACKAGE)) {
      for (Path file : files.toList()) {
        List<String> lines = Files.readAllLines(file);
        long nonBlankLines = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(
            nonBlankLines <= MAX_NON_BLANK_LINES, file + ": " + nonBlankLines + " non-blank lines");
        assertEquals(
            List.of(),
            lines.stream().filter(line -> line.length() > MAX_LINE_WIDTH).toList(),
            () -> file + ": lines wider than " + MAX_LINE_WIDTH);
      }
    }
  }

  @Test
  void headOfControlNamesItsInterface() throws IOException {
    assertTrue(
        Files.readAllLines(PACKAGE.resolve("Control.java")).stream()
            .limit(40)
            .anyMatch(line -> line.contains("RequestRouter.java")));
  }
}
