package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the file system that is locked by at most one process at a time. */
public final class LockedDirectory implements FileSystemPort, AutoCloseable {
  private static final String LOCK_FILE = "lock";

  private final Path directory;
  private final FileChannel lock;

  /**
   * Creates the directory if it does not exist, and locks it.
   *
   * @throws IOException if the directory cannot be created, or is already locked
   */
  public LockedDirectory(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
    this.lock =
        FileChannel.open(
            directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (lock.tryLock() != null) {
        return;
      }
    } catch (OverlappingFileLockException e) {
      // locked by this process
    }
    lock.close();
    throw new IOException(
        directory + ": cannot lock the directory, because another gateway uses it");
  }

  /** Unlocks the directory. */
  @Override
  public void close() throws IOException {
    lock.close();
  }

  @Override
  public List<String> fileNames() throws IOException {
    try (Stream<Path> entries = Files.list(directory)) {
      return entries
          .filter(Files::isRegularFile)
          .map(path -> path.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(directory.resolve(name));
  }

  @Override
  public AppendFile append(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.APPEND);
    return new AppendFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        channel.write(bytes);
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    try (FileChannel channel =
        FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
      channel.truncate(length);
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        directory.resolve(from),
        directory.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
