package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Batching of records and compaction of the log. */
class GroupCommitTest {
  @Test
  void batchesRecordsThatArriveDuringCommit() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory(1);
    AppendLog log = new AppendLog(directory);
    log.open(record -> {});
    ArrayDeque<Runnable> disk = new ArrayDeque<>();
    GroupCommit groupCommit =
        new GroupCommit(
            log, Runnable::run, disk::add, new GroupCommit.Settings(10, 1 << 20), List::of);
    List<String> callbacks = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      int number = i;
      groupCommit.append(
          new byte[] {1},
          failure -> callbacks.add(number + failure.map(e -> " " + e.getMessage()).orElse("")));
    }
    assertEquals(
        4,
        callbacks.size(),
        "one is being written, ten are queued, the rest fail at once: " + callbacks);
    assertTrue(callbacks.get(0).contains("more than 10 records"));
    disk.poll().run();
    disk.poll().run();
    assertEquals(15, callbacks.size());
    assertTrue(callbacks.containsAll(List.of("0", "1", "10")), callbacks.toString());
    assertEquals(2, groupCommit.commits());
    assertNull(disk.poll());
  }

  @Test
  void compactionBoundsLogSizeOnDisk(@TempDir Path directory) throws IOException {
    IdempotencyStore store = new IdempotencyStore(new IdempotencyStore.Settings(50, 100));
    LockedDirectory files = new LockedDirectory(directory);
    String message =
        assertThrows(IOException.class, () -> new LockedDirectory(directory)).getMessage();
    assertTrue(message.contains("another gateway uses"), message);
    AppendLog log = new AppendLog(files);
    log.open(store::replay);
    GroupCommit groupCommit =
        new GroupCommit(
            log,
            Runnable::run,
            Runnable::run,
            new GroupCommit.Settings(10, 4_000),
            () -> store.snapshot(1_000_000));
    for (int i = 0; i < 5_000; i++) {
      String key = "key-" + i;
      groupCommit.append(
          store.callStarted(key, i * 10L), failure -> assertEquals(Optional.empty(), failure));
      groupCommit.append(
          store.callEnded(key, CallStatus.COMPLETED),
          failure -> assertEquals(Optional.empty(), failure));
      assertTrue(log.length() < 16_000, "length " + log.length());
      assertTrue(store.size() <= 50);
    }
    log.close();
    files.close();
    IdempotencyStore restored = new IdempotencyStore(new IdempotencyStore.Settings(50, 100));
    try (LockedDirectory reopened = new LockedDirectory(directory);
        AppendLog reopenedLog = new AppendLog(reopened)) {
      reopenedLog.open(restored::replay);
      assertEquals(1, reopened.fileNames().size());
    }
    assertEquals(
        CallStatus.COMPLETED,
        restored.status("key-4999", 99),
        "the clock of each process starts at 0");
  }
}
