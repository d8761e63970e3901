package lemondock.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import lemondock.idempotency.IdempotencyStore.Fate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The book of calls, and its log through every kind of death. */
class DurableTest {
  private static final IdempotencyStore.Settings SETTINGS =
      new IdempotencyStore.Settings(1_000, 3_600_000);
  private static final GroupCommit.Settings SMALL = new GroupCommit.Settings(100, 1_500);

  /** One life of a gateway's book: book, log and committer, all in this thread. */
  private static final class Life {
    private final IdempotencyStore book = new IdempotencyStore(SETTINGS);
    private final AppendLog log;
    private final GroupCommit committer;
    private final AppendLog.Found found;

    Life(FileSystemPort files) throws IOException {
      log = new AppendLog(files);
      found = log.open(book::replay);
      committer = new GroupCommit(log, Runnable::run, Runnable::run, SMALL, () -> book.snapshot(0));
    }

    /** Whether it became durable. */
    boolean append(byte[] record) {
      boolean[] ok = {false};
      committer.append(record, e -> ok[0] = e == null);
      return ok[0];
    }
  }

  /** What clients and engines were told, which must still hold in the next life. */
  private static final class World {
    private final Set<String> ran = new HashSet<>();
    private final Map<String, Set<String>> relayed = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private int next;

    /** Some calls, until the process is killed; nothing is sent before its record is durable. */
    void live(Life life, SplittableRandom random) {
      for (int i = 0; i < 25; i++) {
        String key = "k" + next++;
        if (!life.append(life.book.taken(key, next))) {
          life.append(life.book.ended(key, Fate.NEVER_RAN));
          continue;
        }
        if (random.nextInt(4) == 0) { // the module found no room
          refused.add(key);
          life.append(life.book.ended(key, Fate.NEVER_RAN));
          continue;
        }
        ran.add(key);
        for (int t = 0; t < random.nextInt(3); t++) {
          String id = "t" + t;
          if (life.append(life.book.relayed(key, id, "stock"))) {
            relayed.computeIfAbsent(key, k -> new HashSet<>()).add(id);
            life.append(life.book.answered(key, id));
          }
        }
        if (random.nextInt(3) > 0) {
          life.append(life.book.ended(key, Fate.SERVED));
        }
      }
    }

    void check(IdempotencyStore book) {
      for (String key : ran) {
        assertFalse(book.fate(key, next).mayRun(), key + " ran and may run again");
        Set<String> known = new HashSet<>();
        book.relayed(key).forEach(r -> known.add(r.id()));
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
        SimulatedFolder folder = new SimulatedFolder(seed * 10_000L + at);
        SplittableRandom random = new SplittableRandom(seed);
        World world = new World();
        boolean killed = false;
        folder.killAt(at);
        try {
          world.live(new Life(folder), random);
        } catch (SimulatedFolder.Killed e) {
          killed = true;
          kills++;
        }
        folder.restart();
        Life second = new Life(folder);
        world.check(second.book);
        world.live(second, random);
        folder.restart();
        world.check(new Life(folder).book);
        if (!killed) {
          break;
        }
      }
    }
    assertTrue(kills > 500, "kills " + kills);
  }

  @Test
  void aFullDiskOrAFailingSyncLosesNothingThatWasDurableAndServesAgain() throws IOException {
    for (int room = 10; room < 3_000; room += 37) {
      SimulatedFolder folder = new SimulatedFolder(room);
      folder.pieces(7);
      World world = new World();
      Life life = new Life(folder);
      folder.room(room);
      world.live(life, new SplittableRandom(room));
      folder.room(Long.MAX_VALUE);
      String first = "first-" + room;
      assertTrue(life.append(life.book.taken(first, 1)), "the first when there is room again");
      SimulatedFolder copy = new SimulatedFolder(room);
      for (String name : folder.names()) {
        copy.put(name, folder.read(name));
      }
      assertFalse(
          new Life(copy).book.fate(first, 2).mayRun(),
          "written behind what the full disk had torn");
      folder.failSyncs(2);
      world.live(life, new SplittableRandom(room + 1));
      int before = world.ran.size();
      world.live(life, new SplittableRandom(room + 2));
      assertTrue(world.ran.size() > before + 10, "served again");
      world.check(life.book);
      folder.restart();
      world.check(new Life(folder).book);
    }
  }

  /**
   * The old file and the new one both stand in the folder after such a failure; the next life takes
   * the new one.
   */
  @Test
  void aFileThatCouldNotBeReplacedWholeLosesNothingThatIsWrittenLater() throws IOException {
    for (int seed = 0; seed < 40; seed++) {
      SimulatedFolder folder = new SimulatedFolder(seed);
      AppendLog log = new AppendLog(folder);
      log.open(record -> {});
      log.write(List.of(new byte[] {1}));
      if (seed % 2 == 0) {
        folder.failFolderSyncs(1 + seed % 4);
      } else {
        folder.failRenames(1);
      }
      assertThrows(IOException.class, () -> log.restart(List.of(new byte[] {1})));
      List<Byte> durable = new ArrayList<>(List.of((byte) 1));
      for (byte next = 2; next < 8; next++) {
        try {
          log.write(List.of(new byte[] {next}));
          durable.add(next);
        } catch (IOException e) {
          assertTrue(next < 5, "written again once the folder can be synced");
        }
      }
      folder.restart();
      List<Byte> found = new ArrayList<>();
      new AppendLog(folder).open(record -> found.add(record.get()));
      assertTrue(
          found.containsAll(durable), "seed " + seed + ": durable " + durable + ", found " + found);
    }
  }

  /**
   * A step of the wall clock is none of the book's: its times are those of the process's own clock,
   * and an age goes over into the next life.
   */
  @Test
  void aCallIsRememberedForItsTimeOverLivesWhoseClocksBeginAnywhere() {
    IdempotencyStore first =
        new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 5_000_000);
    List<byte[]> log = new ArrayList<>();
    log.add(first.taken("ran", 5_000_000));
    log.add(first.ended("ran", Fate.SERVED));
    assertEquals(Fate.SERVED, first.fate("ran", 5_000_900));
    List<byte[]> shortened = first.snapshot(5_000_900);
    for (List<byte[]> records : List.of(log, shortened)) {
      IdempotencyStore second = new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 7);
      records.forEach(record -> second.replay(ByteBuffer.wrap(record)));
      assertEquals(Fate.SERVED, second.fate("ran", 100));
      assertEquals(
          records == log ? Fate.SERVED : Fate.UNKNOWN,
          second.fate("ran", 200),
          "its age was 900 when the snapshot was taken");
      assertEquals(Fate.UNKNOWN, second.fate("ran", 1_100));
    }
  }

  /** Logs of earlier versions have the wall clock's milliseconds where an age stands now. */
  @Test
  void aRecordWithAWallTimeCountsAsNew() {
    IdempotencyStore book = new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 0);
    byte[] old = new IdempotencyStore(new IdempotencyStore.Settings(10, 1_000), 0).taken("old", 0);
    byte[] withWallTime =
        new String(old, StandardCharsets.ISO_8859_1)
            .replace("\0\0\0\1" + "0", "\0\0\0\15" + "1796220000000")
            .getBytes(StandardCharsets.ISO_8859_1);
    book.replay(ByteBuffer.wrap(withWallTime));
    assertEquals(Fate.MAY_HAVE_RUN, book.fate("old", 999));
    assertEquals(Fate.UNKNOWN, book.fate("old", 1_001));
  }

  @Test
  void aTornTailIsCutOffAndADamagedLogNamed() throws IOException {
    SimulatedFolder folder = new SimulatedFolder(1);
    Life life = new Life(folder);
    assertTrue(life.append(life.book.taken("a", 1)));
    assertTrue(life.append(life.book.taken("b", 2)));
    byte[] whole = folder.read("log-1");
    for (int cut = whole.length; cut >= 8; cut--) {
      SimulatedFolder torn = new SimulatedFolder(cut);
      torn.put("log-1", java.util.Arrays.copyOf(whole, cut));
      Life next = new Life(torn);
      assertEquals(cut == whole.length ? 2 : next.book.size(), next.found.records());
      assertEquals(next.found.dropped(), cut - next.log.length());
      assertTrue(next.append(next.book.taken("c", 3)));
      assertEquals(Fate.MAY_HAVE_RUN, new Life(torn).book.fate("c", 4), "cut at " + cut);
    }
    for (int at = 8; at < whole.length; at++) {
      SimulatedFolder flipped = new SimulatedFolder(at);
      byte[] bytes = whole.clone();
      bytes[at] ^= 0x40;
      flipped.put("log-1", bytes);
      assertTrue(new Life(flipped).found.records() < 2, "byte " + at);
    }
    SimulatedFolder other = new SimulatedFolder(9);
    other.put("log-3", "something else".getBytes(StandardCharsets.US_ASCII));
    String message = assertThrows(IOException.class, () -> new Life(other)).getMessage();
    assertTrue(message.contains("log-3") && message.contains("LDLOG001"), message);
    assertThrows(
        IllegalArgumentException.class,
        () -> new IdempotencyStore(SETTINGS).replay(ByteBuffer.wrap(new byte[] {9, 0, 0})));
  }

  @Test
  void theLogStaysBoundedAndOnDiskToo(@TempDir Path folder) throws IOException {
    IdempotencyStore book = new IdempotencyStore(new IdempotencyStore.Settings(50, 100));
    DiskFolder files = new DiskFolder(folder);
    String message = assertThrows(IOException.class, () -> new DiskFolder(folder)).getMessage();
    assertTrue(message.contains("another gateway uses"), message);
    AppendLog log = new AppendLog(files);
    log.open(book::replay);
    GroupCommit committer =
        new GroupCommit(
            log,
            Runnable::run,
            Runnable::run,
            new GroupCommit.Settings(10, 4_000),
            () -> book.snapshot(1_000_000));
    for (int i = 0; i < 5_000; i++) {
      String key = "key-" + i;
      committer.append(book.taken(key, i * 10L), e -> assertNull(e));
      committer.append(book.ended(key, Fate.SERVED), e -> assertNull(e));
      assertTrue(log.length() < 16_000, "length " + log.length());
      assertTrue(book.size() <= 50);
    }
    log.close();
    files.close();
    IdempotencyStore again = new IdempotencyStore(new IdempotencyStore.Settings(50, 100));
    try (DiskFolder later = new DiskFolder(folder);
        AppendLog next = new AppendLog(later)) {
      next.open(again::replay);
      assertEquals(1, later.names().size());
    }
    assertEquals(Fate.SERVED, again.fate("key-4999", 99), "the clock of each life begins anew");
  }

  @Test
  void recordsThatComeWhileOthersAreWrittenGoOutTogether() throws IOException {
    SimulatedFolder folder = new SimulatedFolder(1);
    AppendLog log = new AppendLog(folder);
    log.open(r -> {});
    ArrayDeque<Runnable> disk = new ArrayDeque<>();
    GroupCommit committer =
        new GroupCommit(
            log, Runnable::run, disk::add, new GroupCommit.Settings(10, 1 << 20), List::of);
    List<String> told = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      int n = i;
      committer.append(new byte[] {1}, e -> told.add(n + (e == null ? "" : " " + e.getMessage())));
    }
    assertEquals(4, told.size(), "one is written, ten wait, the rest is told so at once: " + told);
    assertTrue(told.get(0).contains("more than 10 records"));
    disk.poll().run();
    disk.poll().run();
    assertEquals(15, told.size());
    assertTrue(told.containsAll(List.of("0", "1", "10")), told.toString());
    assertEquals(2, committer.commits());
    assertNull(disk.poll());
  }

  @Test
  void aBookForgetsWhatIsOldAndNeverWhatMayHaveRunForRoom() {
    IdempotencyStore book = new IdempotencyStore(new IdempotencyStore.Settings(3, 1_000));
    book.taken("ran", 0);
    book.taken("refused", 1);
    book.ended("refused", Fate.NEVER_RAN);
    book.taken("served", 2);
    book.ended("served", Fate.SERVED);
    assertEquals(Fate.UNDER_WAY, book.fate("ran", 5));
    assertEquals(Fate.UNKNOWN, book.fate("new", 5), "in place of one that never ran");
    book.taken("new", 5);
    assertEquals(Fate.FULL, book.fate("another", 6));
    assertThrows(IllegalStateException.class, () -> book.taken("another", 6));
    assertThrows(IllegalStateException.class, () -> book.taken("served", 6));
    assertEquals(Fate.UNKNOWN, book.fate("served", 1_003), "old enough");
    assertEquals(Fate.UNDER_WAY, book.fate("ran", 5_000), "not while it is under way");
    book.ended("ran", Fate.MAY_HAVE_RUN);
    assertEquals(Fate.UNKNOWN, book.fate("ran", 5_000));
  }
}
