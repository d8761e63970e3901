package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The write-ahead log where the file system fails. */
class AppendLogTest {
  /**
   * The old file and the new one both are in the directory after such a failure; the next process
   * takes the new one.
   */
  @Test
  void aFailedCompactionLosesNothingThatIsWrittenLater() throws IOException {
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
      for (byte next = 2; next < 8; next++) {
        try {
          log.write(List.of(new byte[] {next}));
          durable.add(next);
        } catch (IOException e) {
          assertTrue(next < 5, "written again once the directory can be synced");
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
