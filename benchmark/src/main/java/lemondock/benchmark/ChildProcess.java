package lemondock.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A process of the measurement. */
final class ChildProcess {
  private static final List<ChildProcess> ALL = new ArrayList<>();

  final Process process;
  final int port;
  private final BufferedReader out;

  ChildProcess(String heap, String... args) throws IOException {
    this(List.of(), heap, args);
  }

  ChildProcess(List<String> before, String heap, String... args) throws IOException {
    List<String> command = new ArrayList<>(before);
    command.add(ProcessHandle.current().info().command().orElse("java"));
    if (args[0].equals("gateway") && !System.getProperty("jvm", "").isEmpty()) {
      command.addAll(List.of(System.getProperty("jvm").split(" "))); // to compare or profile
    }
    command.addAll(
        List.of(
            "-Xmx" + heap,
            "-cp",
            System.getProperty("java.class.path"),
            "lemondock.benchmark.BenchmarkMain"));
    command.addAll(List.of(args));
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    ALL.add(this);
    out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    port = Integer.parseInt(line("ready"));
  }

  String line(String begin) throws IOException {
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      if (line.startsWith(begin + " ")) {
        return line.substring(begin.length() + 1);
      }
    }
    throw new IOException("a process ended before it said " + begin);
  }

  Duration cpu() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Bytes that the process has allocated so far, in all its threads, and its heap after a
   * collection (MB).
   */
  long[] memory() throws IOException {
    process.getOutputStream().write('\n');
    process.getOutputStream().flush();
    String[] words = line("heap").split(" ");
    return new long[] {Long.parseLong(words[words.length - 1]), Long.parseLong(words[0])};
  }

  /** Bytes that the process has allocated so far, in all its threads, without a collection. */
  long allocated() throws IOException {
    process.getOutputStream().write('a');
    process.getOutputStream().flush();
    return Long.parseLong(line("allocated"));
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  static void endAll() {
    ALL.forEach(c -> c.process.destroy());
  }
}
