package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Retention and eviction of calls in the idempotency store. */
class IdempotencyStoreTest {
  /**
   * Steps of the wall clock have no effect: each process uses its own monotonic clock, and the log
   * passes the age of a call, not its start time, to the next process.
   */
  @Test
  void remembersCallForRetentionAcrossRestarts() {
    IdempotencyStore first =
        new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 5_000_000);
    List<byte[]> log = new ArrayList<>();
    log.add(first.callStarted("ran", 5_000_000));
    log.add(first.callEnded("ran", CallStatus.COMPLETED));
    assertEquals(CallStatus.COMPLETED, first.status("ran", 5_000_900));
    List<byte[]> compacted = first.snapshot(5_000_900);
    for (List<byte[]> records : List.of(log, compacted)) {
      IdempotencyStore second = new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 7);
      records.forEach(record -> second.replay(ByteBuffer.wrap(record)));
      assertEquals(CallStatus.COMPLETED, second.status("ran", 100));
      assertEquals(
          records == log ? CallStatus.COMPLETED : CallStatus.UNKNOWN,
          second.status("ran", 200),
          "its age was 900 ms when the snapshot was taken");
      assertEquals(CallStatus.UNKNOWN, second.status("ran", 1_100));
    }
  }

  /** Logs of earlier versions have a wall-clock time in milliseconds instead of an age. */
  @Test
  void treatsRecordWithWallClockTimeAsNew() {
    IdempotencyStore store = new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 0);
    byte[] old =
        new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 0).callStarted("old", 0);
    byte[] withWallTime =
        new String(old, StandardCharsets.ISO_8859_1)
            .replace("\0\0\0\1" + "0", "\0\0\0\15" + "1796220000000")
            .getBytes(StandardCharsets.ISO_8859_1);
    store.replay(ByteBuffer.wrap(withWallTime));
    assertEquals(CallStatus.MAY_HAVE_RUN, store.status("old", 999));
    assertEquals(CallStatus.UNKNOWN, store.status("old", 1_001));
  }

  @Test
  void evictsExpiredCallsButNoneThatMayHaveRun() {
    IdempotencyStore store = new IdempotencyStore(new IdempotencyStore.Settings(3, 1_000));
    store.callStarted("ran", 0);
    store.callStarted("refused", 1);
    store.callEnded("refused", CallStatus.NEVER_RAN);
    store.callStarted("served", 2);
    store.callEnded("served", CallStatus.COMPLETED);
    assertEquals(CallStatus.IN_PROGRESS, store.status("ran", 5));
    assertEquals(
        CallStatus.UNKNOWN, store.status("new", 5), "a call that never ran is evicted for it");
    store.callStarted("new", 5);
    assertEquals(CallStatus.STORE_FULL, store.status("another", 6));
    assertThrows(IllegalStateException.class, () -> store.callStarted("another", 6));
    assertThrows(IllegalStateException.class, () -> store.callStarted("served", 6));
    assertEquals(CallStatus.UNKNOWN, store.status("served", 1_003), "expired");
    assertEquals(
        CallStatus.IN_PROGRESS, store.status("ran", 5_000), "a call in progress does not expire");
    store.callEnded("ran", CallStatus.MAY_HAVE_RUN);
    assertEquals(CallStatus.UNKNOWN, store.status("ran", 5_000));
  }
}
