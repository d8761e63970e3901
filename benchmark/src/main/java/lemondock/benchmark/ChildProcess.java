package lemondock.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A process of a benchmark that listens on a port of loopback. Used by one thread. */
final class ChildProcess implements AutoCloseable {
  static final String ENGINE = "engine";
  static final String GATEWAY = "gateway";
  static final String RELAY = "relay-process";
  static final String FIREHOSE = "firehose";

  /** The first word of a gateway's answer to {@link #MEMORY_COMMAND}. */
  static final String HEAP = "heap";

  /** The first word of a gateway's answer to {@link #ALLOCATED_COMMAND}. */
  static final String ALLOCATED = "allocated";

  /** Written to a gateway's standard input to ask for its heap after a collection. */
  static final int MEMORY_COMMAND = '\n';

  /** Written to a gateway's standard input to ask for the bytes that it has allocated. */
  static final int ALLOCATED_COMMAND = 'a';

  private static final List<ChildProcess> ALL = new ArrayList<>();

  private final Process process;
  private final BufferedReader output;
  private final int port;

  /** A process of the program as a command line. */
  static final class Builder {
    private final List<String> launcher = new ArrayList<>();
    private final List<String> jvmOptions = new ArrayList<>();
    private final List<String> arguments = new ArrayList<>();

    private Builder(String maxHeap, String... arguments) {
      jvmOptions.add("-Xmx" + maxHeap);
      this.arguments.addAll(List.of(arguments));
    }

    /** Has the process started by another program, as {@code taskset -c 0}. */
    Builder launchedBy(String... launcherCommand) {
      launcher.addAll(List.of(launcherCommand));
      return this;
    }

    /** Starts the process and waits until it listens. */
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
   * An emulated engine.
   *
   * @param slots requests that it runs at a time
   * @param tokenMillis between two tokens of an answer
   */
  static Builder engine(String maxHeap, int slots, int tokenMillis) {
    return new Builder(maxHeap, ENGINE, Integer.toString(slots), Integer.toString(tokenMillis));
  }

  /** A gateway; the system property {@code jvm} has further options, to compare or to profile. */
  static Builder gateway(String maxHeap, Path settings) {
    Builder builder = new Builder(maxHeap, GATEWAY, settings.toString());
    String jvmOptions = System.getProperty("jvm", "");
    if (!jvmOptions.isEmpty()) {
      builder.jvmOptions.addAll(0, List.of(jvmOptions.split(" ")));
    }
    return builder;
  }

  /** A relay of bytes to a port, the baseline of a gateway. */
  static Builder relay(String maxHeap, int targetPort, int threads) {
    return new Builder(maxHeap, RELAY, Integer.toString(targetPort), Integer.toString(threads));
  }

  /** A server that writes streams as fast as they are taken. */
  static Builder firehose(String maxHeap, int threads) {
    return new Builder(maxHeap, FIREHOSE, Integer.toString(threads));
  }

  private ChildProcess(List<String> command) throws IOException {
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    ALL.add(this);
    output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    port = Integer.parseInt(awaitLine("ready"));
  }

  int port() {
    return port;
  }

  /** Waits for the line that begins with that word and gives the rest of it. */
  private String awaitLine(String firstWord) throws IOException {
    for (String line = output.readLine(); line != null; line = output.readLine()) {
      if (line.startsWith(firstWord + " ")) {
        return line.substring(firstWord.length() + 1);
      }
    }
    throw new IOException("a process ended before it said " + firstWord);
  }

  /** CPU time that the process has used so far. */
  Duration cpuTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * A gateway's heap after a collection and its load.
   *
   * @param allocatedBytes that all its threads have allocated so far
   * @param description as the process prints it, beginning with the heap in MB
   */
  record Memory(long heapMegabytes, long allocatedBytes, String description) {}

  /** Has a gateway collect its garbage and asks for its memory. */
  Memory collectAndMeasure() throws IOException {
    String answer = ask(MEMORY_COMMAND, HEAP);
    String[] words = answer.split(" ");
    return new Memory(Long.parseLong(words[0]), Long.parseLong(words[words.length - 1]), answer);
  }

  /** Asks a gateway for the bytes that its threads have allocated so far, without a collection. */
  long allocatedBytes() throws IOException {
    return Long.parseLong(ask(ALLOCATED_COMMAND, ALLOCATED));
  }

  private String ask(int command, String firstWord) throws IOException {
    process.getOutputStream().write(command);
    process.getOutputStream().flush();
    return awaitLine(firstWord);
  }

  /** Sends a signal by its name, as STOP. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Ends the process, without waiting for it. */
  @Override
  public void close() {
    process.destroy();
  }

  /** Ends all processes that were started. */
  static void closeAll() {
    ALL.forEach(ChildProcess::close);
  }
}
