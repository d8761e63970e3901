package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module stays short enough to be read. */
class ShapeTest {
  private static final Path MODULE = Path.of("src/main/java/lemondock/policy/Control.java");
  private static final int MOST_LINES = 1_000;
  private static final int WIDEST = 110;

  @Test
  void theModuleIsShortAndNarrow() throws IOException {
    List<String> lines = Files.readAllLines(MODULE);
    long filled = lines.stream().filter(l -> !l.isBlank()).count();
    assertTrue(filled <= MOST_LINES, filled + " lines that are not blank");
    assertEquals(List.of(), lines.stream().filter(l -> l.length() > WIDEST).toList());
  }

  @Test
  void theModuleNamesItsInterface() throws IOException {
    assertTrue(
        Files.readAllLines(MODULE).stream().limit(40).anyMatch(l -> l.contains("Routing.java")));
  }
}
