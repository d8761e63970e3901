import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with milliseconds since its start. */
final class Trace {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Trace(Path file) throws IOException {
    BufferedWriter writer = Files.newBufferedWriter(file);
    out = new PrintWriter(writer);
  }

  double nowMillis() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void log(String format, Object... arguments) {
    out.printf(Locale.ROOT, "%10.3f ", nowMillis());
    out.printf(Locale.ROOT, format, arguments);
    out.println();
  }

  /** Also shown on standard output. */
  synchronized void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.printf(Locale.ROOT, format + "%n", arguments);
    out.flush();
  }

  synchronized void flush() {
    out.flush();
  }
}
