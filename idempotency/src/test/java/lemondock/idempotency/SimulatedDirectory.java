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
 * A directory in memory whose process may be killed, and its machine lose power, at any step: of
 * what was not synced a part survives, of a file some first bytes, of changes to names some first
 * ones. It can be full, take writes in pieces and fail. What survives is drawn from the seed. For
 * one thread.
 */
final class SimulatedDirectory implements FileSystemPort {
  /** The simulated process was killed; an error, so that no code under test handles it. */
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

  /** The process is killed at that step from now on. */
  void killAtStep(int step) {
    steps = 0;
    killAtStep = step;
  }

  /** So many more bytes fit. */
  void setFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Each write takes so many bytes at most. */
  void setMaxWriteBytes(int bytes) {
    maxWriteBytes = bytes;
  }

  /** The next so many syncs fail. */
  void failSyncs(int count) {
    syncFailuresLeft = count;
  }

  /** The next so many syncs of the directory fail; what was to be durable by them may be or not. */
  void failDirectorySyncs(int count) {
    directorySyncFailuresLeft = count;
  }

  /** The next so many renames say that they failed, though they did their work. */
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

  /** Makes it what the next process finds. */
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
      throw new IOException("no " + name);
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
          count = random.nextInt(count + 1); // killed with a part of it handed over
        }
        byte[] all = Arrays.copyOf(content.bytes, content.bytes.length + count);
        bytes.get(all, content.bytes.length, count);
        content.bytes = all;
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
      throw new IOException("no " + name);
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
