package lemondock.faultinjection;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The control of one process's preloaded library (faultshim.c): its wall clock, and how often its
 * system calls fail.
 */
final class FaultShim {
  private static final String SOURCE = "faultshim.c";
  private static final int WORD = Long.BYTES;
  private static final int WORDS = 10;
  private static final int SEED = 9;
  private static final long COMPILE_SECONDS = 60;

  private final Path library;
  private final Path file;
  private final MappedByteBuffer words;
  private final DisturbanceLog troubles = new DisturbanceLog();

  /** What can be made to fail; each has a rate in parts of a million. */
  enum Fault {
    /** {@code accept} fails: ECONNABORTED, ENFILE, ENOBUFS or EINTR. */
    ACCEPT(1),
    /** {@code socket} fails: ENFILE or ENOBUFS. */
    SOCKET(2),
    /**
     * {@code connect} fails: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, ETIMEDOUT or EINTR.
     */
    CONNECT(3),
    /** Reads and writes of sockets are interrupted. */
    INTERRUPT(4),
    /** Reads and writes of sockets move a part only. */
    SHORTEN(5),
    /** An open connection breaks with ETIMEDOUT or EHOSTUNREACH. */
    TIMEOUT(6),
    /** Writes to files fail or are short. */
    DISK_WRITE(7),
    /** Syncs of files fail. */
    DISK_SYNC(8);

    private final int word;

    Fault(int word) {
      this.word = word;
    }
  }

  /** Makes a control file in a folder for a library that was {@link #compile compiled}. */
  FaultShim(Path library, Path folder, String name, long seed) throws IOException {
    this.library = library;
    this.file = folder.resolve(name + ".faults");
    Files.write(file, new byte[WORDS * WORD]);
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      words = channel.map(FileChannel.MapMode.READ_WRITE, 0, WORDS * WORD);
    }
    words.order(ByteOrder.nativeOrder());
    words.putLong(SEED * WORD, seed);
  }

  /** Compiles the library into a folder; empty where no C compiler is present. */
  static Optional<Path> compile(Path project, Path folder) {
    Path library = folder.resolve("faultshim.so");
    Path source = project.resolve("faultinjection/src/main/c").resolve(SOURCE);
    try {
      Process compiler =
          new ProcessBuilder(
                  "cc",
                  "-O2",
                  "-shared",
                  "-fPIC",
                  "-o",
                  library.toString(),
                  source.toString(),
                  "-ldl")
              .inheritIO()
              .start();
      boolean done =
          compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) && compiler.exitValue() == 0;
      return done ? Optional.of(library) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted while compiling", e);
    }
  }

  /** What a process must be started with. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "LEMONDOCK_FAULTS", file.toString());
  }

  /** Moves the wall clock to so many milliseconds off the true one. */
  void wallClockOffset(long millis) {
    words.putLong(0, millis);
  }

  /** Lets a system call fail in so many of a million cases from now on. */
  void rate(Fault fault, long perMillion) {
    if (perMillion > 0) {
      troubles.begin();
    }
    words.putLong(fault.word * WORD, perMillion);
  }

  /** Lets all system calls work again; the clock stays. */
  void heal() {
    for (Fault fault : Fault.values()) {
      rate(fault, 0);
    }
    troubles.end();
  }

  /** Whether no system call was made to fail between those moments. */
  boolean cleanBetween(long from, long until) {
    return troubles.noneBetween(from, until);
  }

  /** Removes the control file. */
  void delete() {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
