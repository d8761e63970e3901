package lemondock.faultinjection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Controls the library that is preloaded into one process (faultshim.c): sets the wall clock that
 * the process sees and how often its system calls fail. This class and the library map the same
 * file of 64-bit words; any thread may change a word while the process runs.
 */
final class FaultShim {
  private static final String SOURCE = "faultshim.c";
  private static final int WORD_BYTES = Long.BYTES;
  private static final int WORDS = 13;
  private static final int CLOCK_OFFSET_WORD = 0;
  private static final int SEED_WORD = 9;
  private static final long COMPILE_SECONDS = 60;

  private final Path library;
  private final Path controlFile;
  private final MappedByteBuffer words;
  private final DisturbanceLog disturbances = new DisturbanceLog();

  /** The disturbances that break connections. */
  private final DisturbanceLog brokenConnections = new DisturbanceLog();

  /** A kind of failure of system calls. */
  enum Fault {
    /** {@code accept} fails: ECONNABORTED, ENFILE, ENOBUFS or EINTR. */
    ACCEPT(1),
    /** {@code socket} fails: ENFILE or ENOBUFS. */
    SOCKET(2),
    /**
     * {@code connect} fails: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, ETIMEDOUT or EINTR.
     */
    CONNECT(3),
    /** Reads and writes of sockets fail with EINTR. */
    INTERRUPT(4),
    /** Reads and writes of sockets transfer only a part of the bytes. */
    SHORTEN(5),
    /** A connection that the process has opened fails with ETIMEDOUT or EHOSTUNREACH. */
    TIMEOUT(6),
    /** Writes to files fail with ENOSPC or EIO, or are short. */
    DISK_WRITE(7),
    /** {@code fsync} and {@code fdatasync} fail with EIO or ENOSPC. */
    DISK_SYNC(8),
    /**
     * Reads and writes of sockets fail although the connection is intact: ENOMEM, ENOBUFS,
     * EHOSTUNREACH or ENETUNREACH.
     */
    TRANSFER(10),
    /** {@code epoll_ctl} fails to add or change a descriptor: ENOMEM or ENOSPC. */
    POLL(11),
    /** {@code setsockopt} fails: ENOBUFS or ENOMEM. */
    OPTION(12);

    private final int word;

    Fault(int word) {
      this.word = word;
    }
  }

  /** Creates a control file in a folder, for a library that {@link #compile} has built. */
  FaultShim(Path library, Path folder, String name, long seed) throws IOException {
    this.library = library;
    this.controlFile = folder.resolve(name + ".faults");
    Files.write(controlFile, new byte[WORDS * WORD_BYTES]);
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      words = channel.map(FileChannel.MapMode.READ_WRITE, 0, WORDS * WORD_BYTES);
    }
    words.order(ByteOrder.nativeOrder());
    setWord(SEED_WORD, seed);
  }

  /**
   * Compiles the library with the system's C compiler.
   *
   * @param project the root of the repository, which contains the source
   * @param folder where the library is written
   * @return the library; empty if there is no C compiler or the compilation fails
   */
  static Optional<Path> compile(Path project, Path folder) {
    Path library = folder.resolve("faultshim.so");
    Path source = project.resolve("faultinjection/src/main/c").resolve(SOURCE);
    try {
      return runCompiler(source, library) ? Optional.of(library) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted while compiling " + source, e);
    }
  }

  private static boolean runCompiler(Path source, Path library)
      throws IOException, InterruptedException {
    List<String> command =
        List.of(
            "cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString(), "-ldl");
    Process compiler = new ProcessBuilder(command).inheritIO().start();
    return compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) && compiler.exitValue() == 0;
  }

  /**
   * The environment variables that preload the library into a process and name the control file.
   */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "LEMONDOCK_FAULTS", controlFile.toString());
  }

  /** Sets the offset of the process's wall clock from the machine's. */
  void setWallClockOffsetMillis(long millis) {
    setWord(CLOCK_OFFSET_WORD, millis);
  }

  /** Sets how many of a million system calls of a kind fail from now on. */
  void setFailureRate(Fault fault, long perMillion) {
    if (perMillion > 0) {
      disturbances.begin();
    }
    if (perMillion > 0 && fault == Fault.TIMEOUT) {
      brokenConnections.begin();
    }
    setWord(fault.word, perMillion);
  }

  /** Stops all failures of system calls. The clock offset stays as it is. */
  void heal() {
    for (Fault fault : Fault.values()) {
      setFailureRate(fault, 0);
    }
    disturbances.endAll();
    brokenConnections.endAll();
  }

  /** Whether no failure of system calls was active at any time in that period. */
  boolean isHealthyBetween(long fromMicros, long untilMicros) {
    return disturbances.noneBetween(fromMicros, untilMicros);
  }

  /** Whether no failure that ends connections was active at any time in that period. */
  boolean keepsConnectionsBetween(long fromMicros, long untilMicros) {
    return brokenConnections.noneBetween(fromMicros, untilMicros);
  }

  private void setWord(int word, long value) {
    words.putLong(word * WORD_BYTES, value);
  }

  /** Removes the control file. */
  void delete() {
    try {
      Files.deleteIfExists(controlFile);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
