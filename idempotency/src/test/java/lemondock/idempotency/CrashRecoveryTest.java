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

/** The idempotency store and its log across crashes, full disks and torn writes. */
class CrashRecoveryTest {
  private static final IdempotencyStore.Settings SETTINGS =
      new IdempotencyStore.Settings(1_000, 3_600_000);
  private static final GroupCommit.Settings COMPACTED_OFTEN = new GroupCommit.Settings(100, 1_500);

  /** The idempotency store of a gateway process; everything runs on the thread of the test. */
  private static final class GatewayProcess {
    private final IdempotencyStore store = new IdempotencyStore(SETTINGS);
    private final AppendLog log;
    private final GroupCommit groupCommit;
    private final AppendLog.OpenResult openResult;

    GatewayProcess(FileSystemPort files) throws IOException {
      log = new AppendLog(files);
      openResult = log.open(store::replay);
      groupCommit =
          new GroupCommit(
              log, Runnable::run, Runnable::run, COMPACTED_OFTEN, () -> store.snapshot(0));
    }

    /** Commits a record; returns whether it became durable. */
    boolean append(byte[] record) {
      boolean[] durable = {false};
      groupCommit.append(record, failure -> durable[0] = failure.isEmpty());
      return durable[0];
    }
  }

  /** What was sent to clients and engines, which the store must still know after a restart. */
  private static final class SentMessages {
    private final Set<String> ran = new HashSet<>();
    private final Map<String, Set<String>> relayed = new HashMap<>();
    private final Set<String> rejected = new HashSet<>();
    private int nextNumber;

    /** Runs calls until the process is killed; nothing is sent before its record is durable. */
    void runCalls(GatewayProcess process, SplittableRandom random) {
      for (int i = 0; i < 25; i++) {
        String key = "k" + nextNumber++;
        if (!process.append(process.store.callStarted(key, nextNumber))) {
          process.append(process.store.callEnded(key, CallStatus.NEVER_RAN));
          continue;
        }
        if (random.nextInt(4) == 0) { // the router found no capacity
          rejected.add(key);
          process.append(process.store.callEnded(key, CallStatus.NEVER_RAN));
          continue;
        }
        ran.add(key);
        for (int number = 0; number < random.nextInt(3); number++) {
          String id = "t" + number;
          if (process.append(process.store.toolCallRelayed(key, id, "stock"))) {
            relayed.computeIfAbsent(key, newKey -> new HashSet<>()).add(id);
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
        assertFalse(store.status(key, nextNumber).mayRun(), key + " ran and may run again");
        Set<String> known = new HashSet<>();
        store.relayedToolCalls(key).forEach(toolCall -> known.add(toolCall.id()));
        assertTrue(
            known.containsAll(relayed.getOrDefault(key, Set.of())),
            key + " has lost relayed tool calls");
      }
    }
  }

  @Test
  void noCallRunsTwiceAfterKillAtAnyStep() throws IOException {
    int kills = 0;
    for (int seed = 0; seed < 3; seed++) {
      for (int step = 1; ; step++) {
        SimulatedDirectory directory = new SimulatedDirectory(seed * 10_000L + step);
        SplittableRandom random = new SplittableRandom(seed);
        SentMessages sent = new SentMessages();
        boolean killed = false;
        directory.killAtStep(step);
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
  void recoversFromFullDiskAndFailedSyncsWithoutLoss() throws IOException {
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
          "the first call after the disk has free space again must be durable");
      SimulatedDirectory copy = new SimulatedDirectory(freeBytes);
      for (String name : directory.fileNames()) {
        copy.putFile(name, directory.read(name));
      }
      assertFalse(
          new GatewayProcess(copy).store.status(first, 2).mayRun(),
          "the record written after the torn one is not found");
      directory.failSyncs(2);
      sent.runCalls(process, new SplittableRandom(freeBytes + 1));
      int ranBefore = sent.ran.size();
      sent.runCalls(process, new SplittableRandom(freeBytes + 2));
      assertTrue(sent.ran.size() > ranBefore + 10, "calls must run again");
      sent.assertStillKnown(process.store);
      directory.restart();
      sent.assertStillKnown(new GatewayProcess(directory).store);
    }
  }

  @Test
  void truncatesTornTailAndReportsDamagedLogByName() throws IOException {
    SimulatedDirectory directory = new SimulatedDirectory(1);
    GatewayProcess process = new GatewayProcess(directory);
    assertTrue(process.append(process.store.callStarted("a", 1)));
    assertTrue(process.append(process.store.callStarted("b", 2)));
    byte[] whole = directory.read("log-1");
    for (int cut = whole.length; cut >= 8; cut--) {
      SimulatedDirectory torn = new SimulatedDirectory(cut);
      torn.putFile("log-1", Arrays.copyOf(whole, cut));
      GatewayProcess next = new GatewayProcess(torn);
      assertEquals(cut == whole.length ? 2 : next.store.size(), next.openResult.records());
      assertEquals(next.openResult.truncatedBytes(), cut - next.log.length());
      assertTrue(next.append(next.store.callStarted("c", 3)));
      assertEquals(
          CallStatus.MAY_HAVE_RUN, new GatewayProcess(torn).store.status("c", 4), "cut at " + cut);
    }
    for (int index = 8; index < whole.length; index++) {
      SimulatedDirectory flipped = new SimulatedDirectory(index);
      byte[] bytes = whole.clone();
      bytes[index] ^= 0x40;
      flipped.putFile("log-1", bytes);
      assertTrue(new GatewayProcess(flipped).openResult.records() < 2, "byte " + index);
    }
    SimulatedDirectory notALog = new SimulatedDirectory(9);
    notALog.putFile("log-3", "something else".getBytes(StandardCharsets.US_ASCII));
    String message =
        assertThrows(IOException.class, () -> new GatewayProcess(notALog)).getMessage();
    assertTrue(message.contains("log-3") && message.contains("LDLOG001"), message);
    assertThrows(
        IllegalArgumentException.class,
        () -> new IdempotencyStore(SETTINGS).replay(ByteBuffer.wrap(new byte[] {9, 0, 0})));
  }
}
