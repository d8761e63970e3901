package lemondock.faultinjection;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import lemondock.net.nio.LoopbackPort;

/**
 * One gateway: processes of {@code bin/lemondock-platform}, one after another at one address, and
 * the signals that they get. Faults that stop, restart or reconfigure it hold its monitor
 * meanwhile, so that they do not overlap; all else may be called from any thread.
 */
final class GatewayProcess implements AutoCloseable {
  private static final long READY_WITHIN_MICROS = TimeUnit.SECONDS.toMicros(20);
  private static final long POLL_MILLIS = 20;
  private static final int HEALTH_CHECK_TIMEOUT_MILLIS = 500;
  private static final long KILL_WITHIN_SECONDS = 10;

  /** For so long after SIGTERM the platform may still send new connections. */
  private static final long ARRIVALS_AFTER_TERMINATION_MICROS = TimeUnit.MILLISECONDS.toMicros(350);

  private final String name;
  private final Path project;
  private final Path folder;
  private final RunRecord runRecord;
  private final Optional<FaultShim> shim;
  private final LoopbackPort port = LoopbackPort.reserve();

  /** Number of processes started so far; the last part of the log file's name. */
  private int starts;

  /** The newest process and its record; both null until the first start. */
  private volatile Process process;

  private volatile GatewayIncarnation incarnation;

  /**
   * Makes a gateway without a process.
   *
   * @param project the root of the repository, which has the program
   * @param folder where configuration and logs go
   * @param shim the control of its system calls, if it is to be under one
   */
  GatewayProcess(
      String name, Path project, Path folder, Optional<FaultShim> shim, RunRecord runRecord) {
    this.name = name;
    this.project = project;
    this.folder = folder;
    this.shim = shim;
    this.runRecord = runRecord;
  }

  String name() {
    return name;
  }

  int port() {
    return port.number();
  }

  Optional<FaultShim> shim() {
    return shim;
  }

  /** Replaces its configuration, which the next start or SIGHUP reads. */
  void configure(String config) throws IOException {
    Path newFile = folder.resolve(name + ".json.new");
    Files.writeString(newFile, config);
    Files.move(
        newFile, configFile(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private Path configFile() {
    return folder.resolve(name + ".json");
  }

  /** Starts a process and returns at once. */
  void start() throws IOException {
    starts++;
    ProcessBuilder builder = processBuilder();
    GatewayIncarnation newIncarnation = new GatewayIncarnation(name);
    Process newProcess = builder.start();
    process = newProcess;
    incarnation = newIncarnation;
    runRecord.addIncarnation(newIncarnation);
    newProcess.onExit().thenAccept(ended -> newIncarnation.markEnded(ended.exitValue()));
  }

  private ProcessBuilder processBuilder() {
    Path program = project.resolve("bin/lemondock-platform");
    Path logFile = folder.resolve(name + "-" + starts + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(program.toString(), configFile().toString())
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile());
    Map<String, String> environment = builder.environment();
    shim.ifPresent(present -> environment.putAll(present.environment()));
    if (Boolean.getBoolean("lemondock.faultinjection.debug")) {
      environment.put("LEMONDOCK_NODE_OPTS", "-Dorg.slf4j.simpleLogger.defaultLogLevel=debug");
    }
    return builder;
  }

  /**
   * Waits until its health check succeeds.
   *
   * @throws IOException if the process ends or takes longer than 20 s
   */
  void awaitReady() throws IOException, InterruptedException {
    long untilMicros = MonotonicClock.nowMicros() + READY_WITHIN_MICROS;
    while (!isHealthy()) {
      if (MonotonicClock.nowMicros() > untilMicros || !process.isAlive()) {
        throw new IOException(name + " is not ready: see its log in " + folder);
      }
      Thread.sleep(POLL_MILLIS);
    }
    incarnation.markReady();
  }

  private boolean isHealthy() {
    try (Socket socket = new Socket()) {
      socket.connect(port.address(), HEALTH_CHECK_TIMEOUT_MILLIS);
      socket.setSoTimeout(HEALTH_CHECK_TIMEOUT_MILLIS);
      HttpMessageWriter.write(socket, "GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n");
      return HttpMessageReader.read(socket.getInputStream())
          .filter(answer -> answer.status() == 200)
          .isPresent();
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  /** Sends a signal by its name, as HUP. */
  void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException("SIG" + signal + " cannot be sent to " + name, e);
    }
  }

  /** Kills the process without notice and waits for its end. */
  void kill() throws InterruptedException {
    incarnation.markKilled();
    process.destroyForcibly().waitFor(KILL_WITHIN_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM, and SIGKILL so long after it if the process is still there. */
  void terminate(long killAfterMillis) throws InterruptedException {
    incarnation.markTerminated();
    process.destroy();
    awaitEndOrKill(killAfterMillis);
  }

  /** The same with a series of signals; the time runs from its first SIGTERM. */
  void terminate(SignalSeries series, long killAfterMillis) throws InterruptedException {
    for (SignalSeries.Step step : series.steps()) {
      if (!process.isAlive()) {
        return;
      }
      send(step);
    }
    long sinceTerminationMicros = MonotonicClock.nowMicros() - incarnation.terminatedMicros();
    awaitEndOrKill(killAfterMillis - TimeUnit.MICROSECONDS.toMillis(sinceTerminationMicros));
  }

  private void send(SignalSeries.Step step) throws InterruptedException {
    if (step.signal() == SignalSeries.Signal.TERMINATE && !incarnation.wasTerminated()) {
      incarnation.markTerminated();
    }
    signal(step.signal().code());
    Thread.sleep(step.pauseMillis());
    if (step.signal() == SignalSeries.Signal.FREEZE) {
      signal("CONT");
    }
  }

  private void awaitEndOrKill(long withinMillis) throws InterruptedException {
    if (!process.waitFor(withinMillis, TimeUnit.MILLISECONDS)) {
      kill();
    }
  }

  /**
   * Whether the platform sends new connections here: once it was ready, and for a moment after
   * SIGTERM.
   */
  boolean getsNewConnections() {
    GatewayIncarnation current = incarnation;
    if (current == null || !current.isReady() || current.hasEnded()) {
      return false;
    }
    return !current.wasTerminated()
        || MonotonicClock.nowMicros()
            < current.terminatedMicros() + ARRIVALS_AFTER_TERMINATION_MICROS;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process and frees the port. */
  @Override
  public void close() {
    if (process != null) {
      if (!incarnation.wasKilled() && process.isAlive()) {
        incarnation.markKilled();
      }
      process.destroyForcibly();
    }
    shim.ifPresent(FaultShim::delete);
    port.close();
  }
}
