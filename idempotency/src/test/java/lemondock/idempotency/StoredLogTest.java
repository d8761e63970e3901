package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Restores from logs written by the build of commit 6ec0bf3; see the README next to them. */
class StoredLogTest {
  private static final long RETENTION_MILLIS = 3_600_000;
  private static final IdempotencyStore.Settings SETTINGS =
      new IdempotencyStore.Settings(1_000, RETENTION_MILLIS);
  private static final String NON_ASCII_KEY = "Bestellung äöü 漢字";

  /** Size of a record's length and checksum. */
  private static final int FRAME_HEADER_BYTES = 8;

  /** Size of the last record of {@code appended/log-1}: a type and three strings with lengths. */
  private static final int LAST_RECORD_BYTES =
      1 + 4 + "unfinished".length() + 4 + "1/b".length() + 4 + "order".length();

  private static final int LAST_FRAME_BYTES = FRAME_HEADER_BYTES + LAST_RECORD_BYTES;
  private static final int RECORDS_OF_APPENDED = 19;

  @TempDir private Path directory;
  private IdempotencyStore store;

  @BeforeEach
  void createStore() {
    store = new IdempotencyStore(SETTINGS, 0);
  }

  private static byte[] fixture(String name) throws IOException {
    String resource = "log-written-by-6ec0bf3/" + name;
    try (InputStream in = StoredLogTest.class.getResourceAsStream(resource)) {
      return in.readAllBytes();
    }
  }

  private AppendLog.OpenResult restore(String file, byte[] content) throws IOException {
    Files.write(directory.resolve(file), content);
    try (LockedDirectory files = new LockedDirectory(directory);
        AppendLog log = new AppendLog(files)) {
      return log.open(store::replay);
    }
  }

  private void assertFinishedCallsOfAppended() {
    assertEquals(CallStatus.COMPLETED, store.status("completed", 0));
    assertEquals(CallStatus.NEVER_RAN, store.status("never-ran", 0));
    assertEquals(CallStatus.MAY_HAVE_RUN, store.status("may-have-run", 0));
    assertEquals(CallStatus.COMPLETED, store.status("with-tools", 0));
    assertEquals(CallStatus.COMPLETED, store.status("retried", 0));
    assertEquals(CallStatus.COMPLETED, store.status(NON_ASCII_KEY, 0));
    assertEquals(
        List.of(
            new RelayedToolCall("1/a", "stock", true),
            new RelayedToolCall("2/a", "price €", false)),
        store.relayedToolCalls("with-tools"));
    assertEquals(CallStatus.UNKNOWN, store.status("never-seen", 0));
  }

  @Test
  void restoresStatusAndToolCallsOfEveryCall() throws IOException {
    AppendLog.OpenResult opened = restore("log-1", fixture("appended/log-1"));
    assertEquals(new AppendLog.OpenResult(RECORDS_OF_APPENDED, 0, "log-1"), opened);
    assertEquals(7, store.size());
    assertFinishedCallsOfAppended();
    assertEquals(
        CallStatus.MAY_HAVE_RUN,
        store.status("unfinished", 0),
        "its gateway process ended before the call did");
    assertEquals(
        List.of(new RelayedToolCall("1/b", "order", false)), store.relayedToolCalls("unfinished"));
  }

  @Test
  void restoredCallExpiresOneRetentionAfterRestart() throws IOException {
    restore("log-1", fixture("appended/log-1"));
    for (String key : List.of("completed", "may-have-run", "unfinished", NON_ASCII_KEY)) {
      CallStatus before = store.status(key, 0);
      assertEquals(before, store.status(key, RETENTION_MILLIS), key);
      assertEquals(CallStatus.UNKNOWN, store.status(key, RETENTION_MILLIS + 1), key);
    }
  }

  @Test
  void ageInCompactedLogCountsTowardsExpiry() throws IOException {
    AppendLog.OpenResult opened = restore("log-2", fixture("compacted/log-2"));
    assertEquals(new AppendLog.OpenResult(7, 0, "log-2"), opened);
    assertEquals(3, store.size());
    assertEquals(List.of(new RelayedToolCall("1/a", "stock", true)), store.relayedToolCalls("old"));
    assertExpiresAfter("old", CallStatus.COMPLETED, RETENTION_MILLIS - 900_000);
    assertExpiresAfter("younger", CallStatus.MAY_HAVE_RUN, RETENTION_MILLIS - 300_000);
    assertExpiresAfter("after-compaction", CallStatus.COMPLETED, RETENTION_MILLIS);
  }

  private void assertExpiresAfter(String key, CallStatus status, long millis) {
    assertEquals(status, store.status(key, millis), key);
    assertEquals(CallStatus.UNKNOWN, store.status(key, millis + 1), key);
  }

  @Test
  void restoresAllRecordsBeforeTruncatedLastRecord() throws IOException {
    byte[] whole = fixture("appended/log-1");
    int lastFrameOffset = whole.length - LAST_FRAME_BYTES;
    for (int length = lastFrameOffset; length < whole.length; length++) {
      createStore();
      AppendLog.OpenResult opened = restore("log-1", Arrays.copyOf(whole, length));
      assertEquals(
          new AppendLog.OpenResult(RECORDS_OF_APPENDED - 1, length - lastFrameOffset, "log-1"),
          opened);
      assertEquals(7, store.size(), "cut to " + length);
      assertFinishedCallsOfAppended();
      assertEquals(CallStatus.MAY_HAVE_RUN, store.status("unfinished", 0));
      assertEquals(
          List.of(),
          store.relayedToolCalls("unfinished"),
          "the record of its tool call was cut off");
      assertEquals(
          lastFrameOffset,
          Files.size(directory.resolve("log-1")),
          "the incomplete record is truncated");
    }
  }

  @Test
  void appendsToRestoredLog() throws IOException {
    Files.write(directory.resolve("log-1"), fixture("appended/log-1"));
    try (LockedDirectory files = new LockedDirectory(directory);
        AppendLog log = new AppendLog(files)) {
      log.open(store::replay);
      log.write(
          List.of(
              store.callStarted("never-ran", 10),
              store.callEnded("never-ran", CallStatus.COMPLETED)));
    }
    createStore();
    try (LockedDirectory files = new LockedDirectory(directory);
        AppendLog log = new AppendLog(files)) {
      log.open(store::replay);
    }
    assertEquals(CallStatus.COMPLETED, store.status("never-ran", 0));
    assertEquals(CallStatus.COMPLETED, store.status("completed", 0));
  }
}
