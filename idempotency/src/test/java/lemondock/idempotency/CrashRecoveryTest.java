package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The idempotency store and its log over crashes, full disks and torn writes. */
class CrashRecoveryTest {
  private static final IdempotencyStore.Settings SETTINGS =
      new IdempotencyStore.Settings(1_000, 3_600_000);
  private static final GroupCommit.Settings COMPACTED_OFTEN = new GroupCommit.Settings(100, 1_500);

  /** A gateway process, as far as its store goes; all on the thread of the test. */
  private static final class GatewayProcess {
    private final IdempotencyStore store = new IdempotencyStore(SETTINGS);
    private final AppendLog log;
    private final GroupCommit groupCommit;
    private final AppendLog.OpenResult opened;

    GatewayProcess(FileSystemPort files) throws IOException {
      log = new AppendLog(files);
      opened = log.open(store::replay);
      groupCommit =
          new GroupCommit(
              log, Runnable::run, Runnable::run, COMPACTED_OFTEN, () -> store.snapshot(0));
    }

    /** Whether it became durable. */
    boolean append(byte[] record) {
      boolean[] durable = {false};
      groupCommit.append(record, failure -> durable[0] = failure.isEmpty());
      return durable[0];
    }
  }

  /** What clients and engines have received, which must still hold after a restart. */
  private static final class SentMessages {
    private final Set<String> ran = new HashSet<>();
    private final Map<String, Set<String>> relayed = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private int next;

    /** Some calls, until the process is killed; nothing is sent before its record is durable. */
    void runCalls(GatewayProcess process, SplittableRandom random) {
      for (int i = 0; i < 25; i++) {
        String key = "k" + next++;
        if (!process.append(process.store.callStarted(key, next))) {
          process.append(process.store.callEnded(key, CallStatus.NEVER_RAN));
          continue;
        }
        if (random.nextInt(4) == 0) { // the router found no capacity
          refused.add(key);
          process.append(process.store.callEnded(key, CallStatus.NEVER_RAN));
          continue;
        }
        ran.add(key);
        for (int number = 0; number < random.nextInt(3); number++) {
          String id = "t" + number;
          if (process.append(process.store.toolCallRelayed(key, id, "stock"))) {
            relayed.computeIfAbsent(key, k -> new HashSet<>()).add(id);
            process.append(process.store.toolCallAnswered(key, id));
          }
        }
        if (random.nextInt(3) > 0) {
          process.append(process.store.callEnded(key, CallStatus.COMPLETED));
        }
      }
    }

    void assertStillKnown(IdempotencyStore store) {
      for (String key : ran) {
        assertFalse(store.status(key, next).mayRun(), key + " ran and may run again");
        Set<String> known = new HashSet<>();
        store.relayedToolCalls(key).forEach(r -> known.add(r.id()));
        assertTrue(
            known.containsAll(relayed.getOrDefault(key, Set.of())),
            key + " has lost relayed calls");
      }
    }
  }

  @Test
  void noCallRunsTwiceWhereverTheProcessIsKilled() throws IOException {
    int kills = 0;
    for (int seed = 0; seed < 3; seed++) {
      for (int at = 1; ; at++) {
        SimulatedDirectory directory = new SimulatedDirectory(seed * 10_000L + at);
        SplittableRandom random = new SplittableRandom(seed);
        SentMessages sent = new SentMessages();
        boolean killed = false;
        directory.killAtStep(at);
        try {
          sent.runCalls(new GatewayProcess(directory), random);
        } catch (SimulatedDirectory.Killed e) {
          killed = true;
          kills++;
        }
        directory.restart();
        GatewayProcess second = new GatewayProcess(directory);
        sent.assertStillKnown(second.store);
        sent.runCalls(second, random);
        directory.restart();
        sent.assertStillKnown(new GatewayProcess(directory).store);
        if (!killed) {
          break;
        }
      }
    }
    assertTrue(kills > 500, "kills " + kills);
  }

  @Test
  void aFullDiskOrAFailingSyncLosesNothingDurableAndCallsRunAgainAfterwards() throws IOException {
    for (int freeBytes = 10; freeBytes < 3_000; freeBytes += 37) {
      SimulatedDirectory directory = new SimulatedDirectory(freeBytes);
      directory.setMaxWriteBytes(7);
      SentMessages sent = new SentMessages();
      GatewayProcess process = new GatewayProcess(directory);
      directory.setFreeBytes(freeBytes);
      sent.runCalls(process, new SplittableRandom(freeBytes));
      directory.setFreeBytes(Long.MAX_VALUE);
      String first = "first-" + freeBytes;
      assertTrue(
          process.append(process.store.callStarted(first, 1)),
          "the first when there is room again");
      SimulatedDirectory copy = new SimulatedDirectory(freeBytes);
      for (String name : directory.fileNames()) {
        copy.putFile(name, directory.read(name));
      }
      assertFalse(
          new GatewayProcess(copy).store.status(first, 2).mayRun(),
          "written behind what the full disk had torn");
      directory.failSyncs(2);
      sent.runCalls(process, new SplittableRandom(freeBytes + 1));
      int before = sent.ran.size();
      sent.runCalls(process, new SplittableRandom(freeBytes + 2));
      assertTrue(sent.ran.size() > before + 10, "calls run again");
      sent.assertStillKnown(process.store);
      directory.restart();
      sent.assertStillKnown(new GatewayProcess(directory).store);
    }
  }

  @Test
  void aTornTailIsTruncatedAndADamagedLogIsReportedByName() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory(1);
    GatewayProcess process = new GatewayProcess(directory);
    assertTrue(process.append(process.store.callStarted("a", 1)));
    assertTrue(process.append(process.store.callStarted("b", 2)));
    byte[] whole = directory.read("log-1");
    for (int cut = whole.length; cut >= 8; cut--) {
      SimulatedDirectory torn = new SimulatedDirectory(cut);
      torn.putFile("log-1", Arrays.copyOf(whole, cut));
      GatewayProcess next = new GatewayProcess(torn);
      assertEquals(cut == whole.length ? 2 : next.store.size(), next.opened.records());
      assertEquals(next.opened.truncatedBytes(), cut - next.log.length());
      assertTrue(next.append(next.store.callStarted("c", 3)));
      assertEquals(
          CallStatus.MAY_HAVE_RUN, new GatewayProcess(torn).store.status("c", 4), "cut at " + cut);
    }
    for (int at = 8; at < whole.length; at++) {
      SimulatedDirectory flipped = new SimulatedDirectory(at);
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x40;
      flipped.putFile("log-1", bytes);
      assertTrue(new GatewayProcess(flipped).opened.records() < 2, "byte " + at);
    }
    SimulatedDirectory other = new SimulatedDirectory(9);
    other.putFile("log-3", "something else".getBytes(StandardCharsets.US_ASCII));
    String message = assertThrows(IOException.class, () -> new GatewayProcess(other)).getMessage();
    assertTrue(message.contains("log-3") && message.contains("LDLOG001"), message);
    assertThrows(
        IllegalArgumentException.class,
        () -> new IdempotencyStore(SETTINGS).replay(ByteBuffer.wrap(new byte[] {9, 0, 0})));
  }
}
