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
 * One gateway: a series of processes of {@code bin/lemondock-platform} at one address, of which at
 * most one runs at a time, and the signals sent to them. A fault that stops, restarts or
 * reconfigures the gateway holds this object's monitor for as long as it lasts, so that such faults
 * do not overlap. The other methods may be called from any thread.
 */
final class GatewayProcess implements AutoCloseable {
  private static final long READY_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(20);
  private static final long POLL_MILLIS = 20;
  private static final int HEALTH_CHECK_TIMEOUT_MILLIS = 500;
  private static final long KILL_TIMEOUT_SECONDS = 10;

  /** How long after SIGTERM the platform may still send new connections to a gateway. */
  private static final long NEW_CONNECTION_GRACE_MICROS = TimeUnit.MILLISECONDS.toMicros(350);

  private final String name;
  private final Path project;
  private final Path folder;
  private final RunRecord runRecord;
  private final Optional<FaultShim> shim;
  private final LoopbackPort port = LoopbackPort.reserve();

  /** Number of processes started so far; part of the log file's name. */
  private int startCount;

  /** The latest process. It and its incarnation are null until the first start. */
  private volatile Process process;

  private volatile GatewayIncarnation incarnation;

  /**
   * Creates a gateway without starting a process.
   *
   * @param project the root of the repository, which contains the program
   * @param folder where the configuration and the logs are written
   * @param shim injects faults into the system calls and clocks of the processes; empty for no such
   *     faults
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

  /** Replaces the configuration file, which the next start or SIGHUP reads. */
  void configure(String config) throws IOException {
    Path newFile = folder.resolve(name + ".json.new");
    Files.writeString(newFile, config);
    Files.move(
        newFile, configFile(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private Path configFile() {
    return folder.resolve(name + ".json");
  }

  /** Starts a process, without waiting until it is ready. */
  void start() throws IOException {
    startCount++;
    ProcessBuilder builder = processBuilder();
    GatewayIncarnation newIncarnation = new GatewayIncarnation(name);
    Process newProcess = builder.start();
    process = newProcess;
    incarnation = newIncarnation;
    runRecord.addIncarnation(newIncarnation);
    newProcess.onExit().thenAccept(exited -> newIncarnation.markEnded(exited.exitValue()));
  }

  private ProcessBuilder processBuilder() {
    Path program = project.resolve("bin/lemondock-platform");
    Path logFile = folder.resolve(name + "-" + startCount + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(program.toString(), configFile().toString())
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile());
    Map<String, String> environment = builder.environment();
    shim.ifPresent(control -> environment.putAll(control.environment()));
    if (Boolean.getBoolean("lemondock.faultinjection.debug")) {
      environment.put("LEMONDOCK_NODE_OPTS", "-Dorg.slf4j.simpleLogger.defaultLogLevel=debug");
    }
    return builder;
  }

  /**
   * Waits until the health check of the current process succeeds.
   *
   * @throws IOException if the process exits or takes longer than 20 s
   */
  void awaitReady() throws IOException, InterruptedException {
    long untilMicros = MonotonicClock.nowMicros() + READY_TIMEOUT_MICROS;
    while (!isHealthy()) {
      if (MonotonicClock.nowMicros() > untilMicros || !process.isAlive()) {
        throw new IOException(
            name
                + " is not ready: it exited, or its health check on port "
                + port.number()
                + " did not succeed in time; see its log in "
                + folder);
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

  /** Sends a signal to the current process, by the name that kill takes, such as HUP. */
  void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException("cannot send SIG" + signal + " to " + name, e);
    }
  }

  /** Sends SIGKILL and waits until the process has exited, for at most 10 s. */
  void kill() throws InterruptedException {
    incarnation.markKilled();
    process.destroyForcibly().waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM, and SIGKILL after the given time if the process has not exited by then. */
  void terminate(long killAfterMillis) throws InterruptedException {
    incarnation.markTerminated();
    process.destroy();
    awaitExitOrKill(killAfterMillis);
  }

  /**
   * Sends a series of signals, and SIGKILL if the process has not exited within the given time
   * after the first SIGTERM.
   */
  void terminate(SignalSeries series, long killAfterMillis) throws InterruptedException {
    for (SignalSeries.Step step : series.steps()) {
      if (!process.isAlive()) {
        return;
      }
      send(step);
    }
    long sinceTerminationMicros = MonotonicClock.nowMicros() - incarnation.terminatedMicros();
    awaitExitOrKill(killAfterMillis - TimeUnit.MICROSECONDS.toMillis(sinceTerminationMicros));
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

  private void awaitExitOrKill(long timeoutMillis) throws InterruptedException {
    if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
      kill();
    }
  }

  /**
   * Whether the platform may send new connections to this gateway: from when it is ready until
   * shortly after SIGTERM.
   */
  boolean mayReceiveNewConnections() {
    GatewayIncarnation current = incarnation;
    if (current == null || !current.isReady() || current.hasEnded()) {
      return false;
    }
    return !current.wasTerminated()
        || MonotonicClock.nowMicros() < current.terminatedMicros() + NEW_CONNECTION_GRACE_MICROS;
  }

  /** Whether the current process has got SIGTERM. */
  boolean isTerminated() {
    GatewayIncarnation current = incarnation;
    return current != null && current.wasTerminated();
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
