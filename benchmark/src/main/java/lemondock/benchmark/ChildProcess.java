package lemondock.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A child process of a benchmark that listens on a loopback port. Not thread-safe. */
final class ChildProcess implements AutoCloseable {
  static final String ENGINE = "engine";
  static final String GATEWAY = "gateway";
  static final String RELAY = "relay-process";
  static final String FIREHOSE = "firehose";

  /** The first word of a gateway's response to {@link #MEMORY_COMMAND}. */
  static final String HEAP = "heap";

  /** The first word of a gateway's response to {@link #ALLOCATED_COMMAND}. */
  static final String ALLOCATED = "allocated";

  /** Written to a gateway's standard input to request its heap after a garbage collection. */
  static final int MEMORY_COMMAND = '\n';

  /** Written to a gateway's standard input to request the bytes that it has allocated so far. */
  static final int ALLOCATED_COMMAND = 'a';

  private static final List<ChildProcess> STARTED_PROCESSES = new ArrayList<>();

  private final Process process;
  private final BufferedReader output;
  private final int port;

  /** Builds the command line of a child process and starts it. */
  static final class Builder {
    private final List<String> launcher = new ArrayList<>();
    private final List<String> jvmOptions = new ArrayList<>();
    private final List<String> arguments = new ArrayList<>();

    private Builder(String maxHeap, String... arguments) {
      jvmOptions.add("-Xmx" + maxHeap);
      this.arguments.addAll(List.of(arguments));
    }

    /** Starts the process through another program, such as {@code taskset -c 0}. */
    Builder launchedBy(String... launcherCommand) {
      launcher.addAll(List.of(launcherCommand));
      return this;
    }

    /**
     * Starts the process and waits until it listens.
     *
     * @throws IOException if the process ends before it reports its port
     */
    ChildProcess start() throws IOException {
      List<String> command = new ArrayList<>(launcher);
      command.add(ProcessHandle.current().info().command().orElse("java"));
      command.addAll(jvmOptions);
      command.addAll(
          List.of("-cp", System.getProperty("java.class.path"), BenchmarkMain.class.getName()));
      command.addAll(arguments);
      return new ChildProcess(command);
    }
  }

  /**
   * Builds the process of an emulated engine.
   *
   * @param slots requests that the engine runs concurrently
   * @param tokenMillis interval between two tokens of an answer
   */
  static Builder engine(String maxHeap, int slots, int tokenMillis) {
    return new Builder(maxHeap, ENGINE, Integer.toString(slots), Integer.toString(tokenMillis));
  }

  /**
   * Builds the process of a gateway. The system property {@code jvm} adds JVM options, for
   * comparison or profiling.
   */
  static Builder gateway(String maxHeap, Path settings) {
    Builder builder = new Builder(maxHeap, GATEWAY, settings.toString());
    String jvmOptions = System.getProperty("jvm", "");
    if (!jvmOptions.isEmpty()) {
      builder.jvmOptions.addAll(0, List.of(jvmOptions.split(" ")));
    }
    return builder;
  }

  /** Builds the process of a byte relay to a port, the baseline for a gateway. */
  static Builder relay(String maxHeap, int targetPort, int threads) {
    return new Builder(maxHeap, RELAY, Integer.toString(targetPort), Integer.toString(threads));
  }

  /** Builds the process of a server that writes streams as fast as clients read them. */
  static Builder firehose(String maxHeap, int threads) {
    return new Builder(maxHeap, FIREHOSE, Integer.toString(threads));
  }

  private ChildProcess(List<String> command) throws IOException {
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    STARTED_PROCESSES.add(this);
    output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    port = Integer.parseInt(awaitLine("ready"));
  }

  int port() {
    return port;
  }

  /** Waits for a line that begins with {@code firstWord} and returns the rest of the line. */
  private String awaitLine(String firstWord) throws IOException {
    for (String line = output.readLine(); line != null; line = output.readLine()) {
      if (line.startsWith(firstWord + " ")) {
        return line.substring(firstWord.length() + 1);
      }
    }
    throw new IOException(
        "child process closed its output before it printed a line that begins with \""
            + firstWord
            + "\"");
  }

  /** The CPU time that the process has used so far; zero if the platform does not report it. */
  Duration cpuTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * A gateway's heap after a garbage collection, and its load.
   *
   * @param heapMegabytes heap in use
   * @param allocatedBytes bytes that all its threads have allocated so far
   * @param description the line that the process prints, which begins with the heap in MB
   */
  record Memory(long heapMegabytes, long allocatedBytes, String description) {}

  /** Runs a garbage collection in a gateway and returns its memory afterwards. */
  Memory collectAndMeasure() throws IOException {
    String response = sendCommand(MEMORY_COMMAND, HEAP);
    String[] words = response.split(" ");
    return new Memory(Long.parseLong(words[0]), Long.parseLong(words[words.length - 1]), response);
  }

  /**
   * Returns the bytes that a gateway's threads have allocated so far, without a garbage collection.
   */
  long allocatedBytes() throws IOException {
    return Long.parseLong(sendCommand(ALLOCATED_COMMAND, ALLOCATED));
  }

  private String sendCommand(int command, String firstWord) throws IOException {
    process.getOutputStream().write(command);
    process.getOutputStream().flush();
    return awaitLine(firstWord);
  }

  /** Sends a signal by its name without the prefix SIG, such as STOP. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Asks the process to terminate, without waiting until it has. */
  @Override
  public void close() {
    process.destroy();
  }

  /** Closes all child processes that this process has started. */
  static void closeAll() {
    STARTED_PROCESSES.forEach(ChildProcess::close);
  }
}
