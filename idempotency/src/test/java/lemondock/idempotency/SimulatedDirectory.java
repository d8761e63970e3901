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
 * A directory in memory that simulates a kill of the process and a power loss at any step. Of what
 * was not synced, a prefix survives: the first bytes of a file, and the first of the changes to
 * file names. Also simulates a full disk, partial writes and failing operations. What survives is
 * drawn from the seed. For one thread.
 */
final class SimulatedDirectory implements FileSystemPort {
  /** The simulated process was killed; an Error, so that the code under test does not catch it. */
  static final class Killed extends Error {
    private static final long serialVersionUID = 1;
  }

  private static final class FileContent {
    private byte[] bytes = new byte[0];
    private int syncedBytes;
  }

  private final SplittableRandom random;
  private Map<String, FileContent> files = new TreeMap<>();
  private Map<String, FileContent> durableFiles = new HashMap<>();
  private final List<Runnable> unsyncedChanges = new ArrayList<>();
  private long freeBytes = Long.MAX_VALUE;
  private int syncFailuresLeft;
  private int directorySyncFailuresLeft;
  private int renameFailuresLeft;
  private int steps;
  private int killAtStep = Integer.MAX_VALUE;
  private int maxWriteBytes = Integer.MAX_VALUE;

  SimulatedDirectory(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Kills the process at the given step, counted from now. */
  void killAtStep(int step) {
    steps = 0;
    killAtStep = step;
  }

  /** Sets how many more bytes can be written. */
  void setFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Limits the bytes that a single write accepts. */
  void setMaxWriteBytes(int bytes) {
    maxWriteBytes = bytes;
  }

  /** Makes the next syncs of files fail. */
  void failSyncs(int count) {
    syncFailuresLeft = count;
  }

  /** Makes the next syncs of the directory fail; their changes may be durable or not. */
  void failDirectorySyncs(int count) {
    directorySyncFailuresLeft = count;
  }

  /** Makes the next renames report a failure although they were done. */
  void failRenames(int count) {
    renameFailuresLeft = count;
  }

  /** Adds a durable file. */
  void putFile(String name, byte[] bytes) {
    FileContent content = new FileContent();
    content.bytes = bytes.clone();
    content.syncedBytes = bytes.length;
    files.put(name, content);
    durableFiles.put(name, content);
  }

  private void step() {
    steps++;
    if (steps == killAtStep) {
      throw new Killed();
    }
  }

  /**
   * Simulates a power loss and a restart: of the unsynced changes and bytes, only prefixes chosen
   * by the seed remain for the next process.
   */
  void restart() {
    int surviving = unsyncedChanges.isEmpty() ? 0 : random.nextInt(unsyncedChanges.size() + 1);
    unsyncedChanges.subList(0, surviving).forEach(Runnable::run);
    unsyncedChanges.clear();
    files = new TreeMap<>(durableFiles);
    files.values().forEach(this::loseUnsyncedBytes);
    killAtStep = Integer.MAX_VALUE;
  }

  private void loseUnsyncedBytes(FileContent content) {
    int unsyncedBytes = content.bytes.length - content.syncedBytes;
    int surviving = unsyncedBytes > 0 ? random.nextInt(unsyncedBytes + 1) : 0;
    content.syncedBytes += surviving;
    content.bytes = Arrays.copyOf(content.bytes, content.syncedBytes);
  }

  @Override
  public List<String> fileNames() {
    return List.copyOf(files.keySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    if (!files.containsKey(name)) {
      throw new IOException("no such file: " + name);
    }
    return files.get(name).bytes.clone();
  }

  @Override
  public AppendFile append(String name) {
    step();
    FileContent content =
        files.computeIfAbsent(
            name,
            newName -> {
              FileContent created = new FileContent();
              unsyncedChanges.add(() -> durableFiles.put(newName, created));
              return created;
            });
    return new AppendFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        int count = (int) Math.min(Math.min(bytes.remaining(), maxWriteBytes), freeBytes);
        if (steps + 1 == killAtStep) {
          count = random.nextInt(count + 1); // killed after a part of the bytes was written
        }
        byte[] extended = Arrays.copyOf(content.bytes, content.bytes.length + count);
        bytes.get(extended, content.bytes.length, count);
        content.bytes = extended;
        freeBytes -= count;
        step();
        if (count == 0 && bytes.hasRemaining()) {
          throw new IOException("No space left on device");
        }
      }

      @Override
      public void sync() throws IOException {
        step();
        if (syncFailuresLeft > 0) {
          syncFailuresLeft--;
          throw new IOException("Input/output error");
        }
        content.syncedBytes = content.bytes.length;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    step();
    FileContent content = files.get(name);
    if (content == null) {
      throw new IOException("no such file: " + name);
    }
    freeBytes = Math.min(Long.MAX_VALUE / 2, freeBytes) + content.bytes.length - length;
    content.bytes = Arrays.copyOf(content.bytes, (int) length);
    content.syncedBytes = Math.min(content.syncedBytes, (int) length);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    step();
    FileContent content = files.remove(from);
    files.put(to, content);
    unsyncedChanges.add(
        () -> {
          durableFiles.remove(from);
          durableFiles.put(to, content);
        });
    if (renameFailuresLeft > 0) {
      renameFailuresLeft--;
      throw new IOException("Input/output error");
    }
  }

  @Override
  public void delete(String name) {
    step();
    if (files.remove(name) != null) {
      unsyncedChanges.add(() -> durableFiles.remove(name));
    }
  }

  @Override
  public void syncDirectory() throws IOException {
    step();
    if (directorySyncFailuresLeft > 0) {
      directorySyncFailuresLeft--;
      throw new IOException("Input/output error");
    }
    unsyncedChanges.forEach(Runnable::run);
    unsyncedChanges.clear();
  }
}
