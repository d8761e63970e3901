package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder whose process may be killed, and its machine lose power, at any step: of what was not
 * synced a part survives, of a file some first bytes, of changes to names some first ones. It can
 * be full, and takes writes in pieces.
 */
final class SimulatedFolder implements FileSystemPort {
  /** The process was killed. */
  static final class Killed extends Error {
    private static final long serialVersionUID = 1;
  }

  private static final class Content {
    private byte[] bytes = new byte[0];
    private int synced;
  }

  private final SplittableRandom random;
  private Map<String, Content> names = new TreeMap<>();
  private Map<String, Content> durable = new HashMap<>();
  private final List<Runnable> unsynced = new ArrayList<>();
  private long room = Long.MAX_VALUE;
  private int failures;
  private int folderFailures;
  private int renameFailures;
  private int steps;
  private int killAt = Integer.MAX_VALUE;
  private int pieces = Integer.MAX_VALUE;

  SimulatedFolder(long seed) {
    random = new SplittableRandom(seed);
  }

  /** The process is killed at that step from now on. */
  void killAt(int step) {
    steps = 0;
    killAt = step;
  }

  int steps() {
    return steps;
  }

  /** So many more bytes fit. */
  void room(long bytes) {
    room = bytes;
  }

  /** Writes take so many bytes at a time. */
  void pieces(int bytes) {
    pieces = bytes;
  }

  /** The next so many syncs fail. */
  void failSyncs(int count) {
    failures = count;
  }

  /** The next so many syncs of the folder fail; what was to be durable by them may be or not. */
  void failFolderSyncs(int count) {
    folderFailures = count;
  }

  /** The next so many renames say that they failed, though they did their work. */
  void failRenames(int count) {
    renameFailures = count;
  }

  void put(String name, byte[] bytes) {
    Content content = new Content();
    content.bytes = bytes.clone();
    content.synced = bytes.length;
    names.put(name, content);
    durable.put(name, content);
  }

  private void step() {
    if (++steps == killAt) {
      throw new Killed();
    }
  }

  /** The folder as the next life finds it. */
  void restart() {
    int survive = unsynced.isEmpty() ? 0 : random.nextInt(unsynced.size() + 1);
    unsynced.subList(0, survive).forEach(Runnable::run);
    unsynced.clear();
    names = new TreeMap<>(durable);
    for (Content c : names.values()) {
      int kept =
          c.synced
              + (c.bytes.length > c.synced ? random.nextInt(c.bytes.length - c.synced + 1) : 0);
      c.bytes = Arrays.copyOf(c.bytes, kept);
      c.synced = kept;
    }
    killAt = Integer.MAX_VALUE;
  }

  @Override
  public List<String> fileNames() {
    return List.copyOf(names.keySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    if (!names.containsKey(name)) {
      throw new IOException("no " + name);
    }
    return names.get(name).bytes.clone();
  }

  @Override
  public AppendFile append(String name) {
    step();
    Content content =
        names.computeIfAbsent(
            name,
            n -> {
              Content made = new Content();
              unsynced.add(() -> durable.put(n, made));
              return made;
            });
    return new AppendFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        int count = (int) Math.min(Math.min(bytes.remaining(), pieces), room);
        if (steps + 1 == killAt) {
          count = random.nextInt(count + 1); // killed with a part of it handed over
        }
        byte[] all = Arrays.copyOf(content.bytes, content.bytes.length + count);
        bytes.get(all, content.bytes.length, count);
        content.bytes = all;
        room -= count;
        step();
        if (count == 0 && bytes.hasRemaining()) {
          throw new IOException("No space left on device");
        }
      }

      @Override
      public void sync() throws IOException {
        step();
        if (failures > 0) {
          failures--;
          throw new IOException("Input/output error");
        }
        content.synced = content.bytes.length;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    step();
    Content c = names.get(name);
    if (c == null) {
      throw new IOException("no " + name);
    }
    room = Math.min(Long.MAX_VALUE / 2, room) + c.bytes.length - length;
    c.bytes = Arrays.copyOf(c.bytes, (int) length);
    c.synced = Math.min(c.synced, (int) length);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    step();
    Content c = names.remove(from);
    names.put(to, c);
    unsynced.add(
        () -> {
          durable.remove(from);
          durable.put(to, c);
        });
    if (renameFailures > 0) {
      renameFailures--;
      throw new IOException("Input/output error");
    }
  }

  @Override
  public void delete(String name) {
    step();
    if (names.remove(name) != null) {
      unsynced.add(() -> durable.remove(name));
    }
  }

  @Override
  public void syncDirectory() throws IOException {
    step();
    if (folderFailures > 0) {
      folderFailures--;
      throw new IOException("Input/output error");
    }
    unsynced.forEach(Runnable::run);
    unsynced.clear();
  }
}
