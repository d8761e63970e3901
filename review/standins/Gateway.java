import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A gateway, started with the command of the deploy file as a process of its own. */
final class Gateway implements AutoCloseable {
  final int port;
  private final Process process;

  /** A shell that sends signals: its own kill command needs no new process. */
  private final Process signals;

  /**
   * Starts a gateway and waits until it is ready.
   *
   * @param settings the object of that name in the configuration
   */
  Gateway(Path root, Path folder, Discovery discovery, String limits, String settings)
      throws Exception {
    port = freePort();
    Path config = folder.resolve("gateway.json");
    Files.writeString(
        config,
        "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
            + port
            + "\",\"discovery\":\""
            + discovery.address()
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":"
            + limits
            + ",\"known\":"
            + discovery.fullList()
            + ",\"settings\":"
            + settings
            + "}\n");
    String run = Files.readString(root.resolve("deploy/balancer.toml"));
    run = run.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
    builder.directory(root.toFile());
    builder.environment().put("ROUTER_NAME", "n1");
    builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("ROUTER_DISCOVERY", discovery.address());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", folder.toString());
    File log = folder.resolve("gateway.log").toFile();
    process = builder.redirectErrorStream(true).redirectOutput(log).start();
    signals = new ProcessBuilder("/bin/sh").redirectErrorStream(true).start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    awaitReady(log.toPath());
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return probe.getLocalPort();
    }
  }

  private void awaitReady(Path log) throws Exception {
    for (long end = System.nanoTime() + 30_000_000_000L; System.nanoTime() < end; ) {
      if (!process.isAlive()) {
        throw new IOException("the gateway did not start: " + Files.readString(log));
      }
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket
            .getOutputStream()
            .write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        if (Message.readHead(socket.getInputStream()).startLine.contains(" 200 ")) {
          return;
        }
      } catch (IOException e) {
        // not listening yet
      }
      Thread.sleep(50);
    }
    throw new IOException("the gateway was not ready in 30 s");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Sends a signal to the gateway. */
  void signal(String name) throws IOException {
    OutputStream commands = signals.getOutputStream();
    commands.write(("kill -" + name + " " + process.pid() + "\n").getBytes(StandardCharsets.US_ASCII));
    commands.flush();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    signals.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
