package lemondock.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import lemondock.net.nio.LoopbackPort;

/**
 * One gateway: real processes of {@code bin/lemondock-platform}, one after another at one address,
 * and the signals that they get.
 */
final class GatewayProcess implements AutoCloseable {
  private static final long READY_WITHIN = 20 * MonotonicClock.SECOND;
  private static final int LOOK_MILLIS = 20;
  private static final long ARRIVALS_AFTER_TERM = 350 * MonotonicClock.MILLI;

  final String name;
  private final Path project;
  private final Path folder;
  private final RunRecord truth;
  private final Optional<FaultShim> shim;
  private final LoopbackPort port = LoopbackPort.reserve();
  private int lives;
  private volatile Process process;
  private volatile RunRecord.Life life;

  GatewayProcess(String name, Path project, Path folder, Optional<FaultShim> shim, RunRecord truth)
      throws IOException {
    this.name = name;
    this.project = project;
    this.folder = folder;
    this.shim = shim;
    this.truth = truth;
  }

  int port() {
    return port.number();
  }

  Optional<FaultShim> shim() {
    return shim;
  }

  /** Writes its configuration, which the next start or SIGHUP takes. */
  void configure(String config) throws IOException {
    Path next = folder.resolve(name + ".json.new");
    Files.writeString(next, config);
    Files.move(
        next,
        folder.resolve(name + ".json"),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts a process and returns at once. */
  void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            project.resolve("bin/lemondock-platform").toString(),
            folder.resolve(name + ".json").toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(folder.resolve(name + "-" + ++lives + ".log").toFile());
    builder.environment().putAll(shim.map(FaultShim::environment).orElse(java.util.Map.of()));
    if (Boolean.getBoolean("lemondock.faultinjection.debug")) {
      builder
          .environment()
          .put("LEMONDOCK_NODE_OPTS", "-Dorg.slf4j.simpleLogger.defaultLogLevel=debug");
    }
    RunRecord.Life begun = new RunRecord.Life(name, MonotonicClock.now());
    Process started = builder.start();
    process = started;
    life = begun;
    truth.lives.add(begun);
    started
        .onExit()
        .thenAccept(
            ended -> {
              begun.exitCode = ended.exitValue();
              begun.endedAt = MonotonicClock.now();
            });
  }

  /** Waits until it is ready. */
  void awaitReady() throws IOException, InterruptedException {
    long until = MonotonicClock.now() + READY_WITHIN;
    while (!healthy()) {
      if (MonotonicClock.now() > until || !process.isAlive()) {
        throw new IOException(name + " is not ready: see its log in " + folder);
      }
      Thread.sleep(LOOK_MILLIS);
    }
    life.readyAt = MonotonicClock.now();
  }

  private boolean healthy() {
    try (Socket socket = new Socket()) {
      socket.connect(port.address(), 500);
      socket.setSoTimeout(500);
      socket
          .getOutputStream()
          .write(HttpMessageReader.bytes("GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n"));
      InputStream in = socket.getInputStream();
      HttpMessageReader.Message answer = HttpMessageReader.read(in);
      return answer != null && answer.status() == 200;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  /** Sends a signal by its name, as HUP. */
  void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Kills the process without notice. */
  void kill() throws InterruptedException {
    life.killedAt = MonotonicClock.now();
    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM, and SIGKILL so long after it if the process is still there. */
  void terminate(long killAfterMillis) throws InterruptedException {
    life.terminatedAt = MonotonicClock.now();
    process.destroy();
    if (!process.waitFor(killAfterMillis, TimeUnit.MILLISECONDS)) {
      kill();
    }
  }

  /**
   * Whether the front sends new connections here: once it was ready, and for a moment after
   * SIGTERM.
   */
  boolean admitted() {
    RunRecord.Life now = life;
    return now != null
        && now.readyAt > 0
        && now.endedAt == 0
        && (now.terminatedAt == 0 || MonotonicClock.now() < now.terminatedAt + ARRIVALS_AFTER_TERM);
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  @Override
  public void close() {
    if (process != null) {
      life.killedAt =
          life.killedAt == 0 && process.isAlive() ? MonotonicClock.now() : life.killedAt;
      process.destroyForcibly();
    }
    shim.ifPresent(FaultShim::delete);
    port.close();
  }
}
