package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The write-ahead log on a file system that fails. */
class AppendLogTest {
  /**
   * After a failed rename or directory sync, both the old file and the new one are in the
   * directory, and the next process opens the new one. Records must not be written to the old one.
   */
  @Test
  void recordsWrittenAfterFailedCompactionSurviveRestart() throws IOException {
    for (int seed = 0; seed < 40; seed++) {
      SimulatedDirectory directory = new SimulatedDirectory(seed);
      AppendLog log = new AppendLog(directory);
      log.open(record -> {});
      log.write(List.of(new byte[] {1}));
      if (seed % 2 == 0) {
        directory.failDirectorySyncs(1 + seed % 4);
      } else {
        directory.failRenames(1);
      }
      assertThrows(IOException.class, () -> log.compact(List.of(new byte[] {1})));
      List<Byte> durable = new ArrayList<>(List.of((byte) 1));
      for (byte value = 2; value < 8; value++) {
        try {
          log.write(List.of(new byte[] {value}));
          durable.add(value);
        } catch (IOException e) {
          assertTrue(value < 5, "writes must succeed once the directory can be synced");
        }
      }
      directory.restart();
      List<Byte> found = new ArrayList<>();
      new AppendLog(directory).open(record -> found.add(record.get()));
      assertTrue(
          found.containsAll(durable), "seed " + seed + ": durable " + durable + ", found " + found);
    }
  }
}
