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

/** A folder of the file system, for one process at a time. */
public final class DiskFolder implements FileSystemPort, AutoCloseable {
  private static final String LOCK = "lock";

  private final Path folder;
  private final FileChannel lock;

  /**
   * Makes the folder if there is none.
   *
   * @throws IOException also if another process has it
   */
  public DiskFolder(Path folder) throws IOException {
    this.folder = Files.createDirectories(folder);
    this.lock =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (lock.tryLock() != null) {
        return;
      }
    } catch (OverlappingFileLockException e) {
      // this process has it
    }
    lock.close();
    throw new IOException(
        folder + ": expected a folder of one's own, found one that another gateway uses");
  }

  /** Lets others have the folder. */
  @Override
  public void close() throws IOException {
    lock.close();
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(Files::isRegularFile)
          .map(p -> p.getFileName().toString())
          .filter(n -> !n.equals(LOCK))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public Out append(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.APPEND);
    return new Out() {
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
    try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
      channel.truncate(length);
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
