package lemondock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemondock.net.nio.LoopbackPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the {@code run} line of the deploy file as the platform does: {@code PATH} contains only
 * {@code java}, and the launcher must not fork.
 */
class LauncherTest {
  // Indices of the fields of /proc/PID/stat that follow the process name.
  private static final int CHILDREN_PAGE_FAULTS = 8; // of children that have exited
  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;
  private static final long MAX_TICKS = 50; // per second: half a core; a busy loop uses a whole one
  private static final String COMPACT_CONFIG =
      "{\"name\":\"n\",\"listen\":\"%1$s\",\"discovery\":\"%1$s\",\"seed\":\"1\","
          + "\"limits\":{\"cores\":0.5,\"memory_mb\":%2$d,\"sockets\":256},"
          + "\"known\":{\"version\":1,\"full\":true,\"servers\":[]},"
          + "\"settings\":{\"siblings\":1,\"skus\":[\"r\",\"w\"],\"resolution-ms\":2,\"tenants\":[],"
          + "\"classes\":[{\"name\":\"c\",\"goal-time-ms\":100,\"deadline-ms\":500,\"credit\":1,\"repeat\":\"once\"}],"
          + "\"limits\":{\"max-attempts\":4},\"specifics\":{\"duty-by-kind\":[\"read\",\"write\"]}}}";
  private static final String CONFIG_WITHOUT_MEMORY =
      COMPACT_CONFIG.replace("\"memory_mb\":%2$d,", "");

  @TempDir private Path folder;

  private final LoopbackPort port = LoopbackPort.reserve();
  private String startupLog = "";

  @AfterEach
  void releasePort() {
    port.close();
  }

  /** The same JSON with each bracket, comma and colon on its own line or next to whitespace. */
  private static String indented(String json) {
    return json.replaceAll("([{\\[,])", "$1\n\t ")
        .replaceAll("([}\\]])", "\n$1")
        .replaceAll("\":(?=[\\[{\"0-9tf])", "\"\n :\r\n ");
  }

  /**
   * Prepares a gateway process as the platform starts it. The same shell runs {@code shellPrefix}
   * before the launcher.
   *
   * @param json the configuration, with placeholders for the listen address and the memory in MB
   */
  private ProcessBuilder gateway(String shellPrefix, String json, int memoryMb) throws Exception {
    String run =
        Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceAll("^run = \"|\"$", "");
    Path programs = Files.createDirectories(folder.resolve("programs"));
    if (!Files.exists(programs.resolve("java"))) {
      Files.createSymbolicLink(
          programs.resolve("java"), Path.of(System.getProperty("java.home"), "bin", "java"));
    }
    Path config =
        Files.writeString(
            folder.resolve("config.json"), json.formatted("127.0.0.1:" + port.number(), memoryMb));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", shellPrefix + run)
            .directory(Path.of("..").toFile())
            .redirectErrorStream(true);
    builder.environment().put("PATH", programs.toString());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    return builder;
  }

  /** Starts a gateway, waits until it listens and stops it by SIGTERM; returns its heap in MB. */
  private long heapMbOf(String json, int memoryMb) throws Exception {
    return heapMbOf("", json, memoryMb);
  }

  private long heapMbOf(String shellPrefix, String json, int memoryMb) throws Exception {
    ProcessBuilder builder = gateway(shellPrefix, json, memoryMb);
    builder.environment().put("LEMONDOCK_NODE_OPTS", "-XX:+PrintFlagsFinal");
    Process process = builder.start();
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      List<String> otherLines = new ArrayList<>();
      long heapMb = 0;
      String line = lines.readLine();
      for (; line != null && !line.contains("listens on"); line = lines.readLine()) {
        if (line.matches(" *size_t MaxHeapSize .*")) {
          heapMb = Long.parseLong(line.replaceAll(".*= *([0-9]+) .*", "$1")) >> 20;
        } else if (!line.contains(" = ")) {
          otherLines.add(line);
        }
      }
      startupLog = String.join("\n", otherLines);
      assertNotEquals(null, line, startupLog);
      assertEquals(0, childrenPageFaults(process.pid()), "the launcher forked");
      process.toHandle().destroy(); // Process.destroy would also close the output
      while (lines.readLine() != null) {
        Thread.onSpinWait();
      }
      assertTrue(process.waitFor(20, TimeUnit.SECONDS));
      assertEquals(0, process.exitValue());
      return heapMb;
    } finally {
      process.destroyForcibly();
    }
  }

  private static long childrenPageFaults(long pid) throws IOException {
    return readProcessStat(pid, CHILDREN_PAGE_FAULTS);
  }

  private static long readProcessStat(long pid, int field) throws IOException {
    Path stat = Path.of("/proc/" + pid + "/stat");
    if (!Files.exists(stat)) {
      return 0; // only Linux has this file
    }
    String content = Files.readString(stat);
    return Long.parseLong(content.substring(content.lastIndexOf(')') + 2).split(" ")[field]);
  }

  /**
   * Opens more idle connections than the process has file descriptors, which are fewer than its
   * configuration states. The gateway must neither exit nor spin, and must accept again afterwards.
   */
  @Test
  void acceptingResumesAfterDescriptorExhaustion() throws Exception {
    Process process = gateway("ulimit -n 100; ", COMPACT_CONFIG, 64).start();
    List<Socket> idleSockets = new ArrayList<>();
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); !line.contains("listens on"); line = lines.readLine()) {
        assertTrue(process.isAlive(), line);
      }
      for (int i = 0; i < 150; i++) {
        idleSockets.add(new Socket(InetAddress.getLoopbackAddress(), port.number()));
      }
      Thread.sleep(300); // until the gateway has run out of descriptors
      long ticksBefore =
          readProcessStat(process.pid(), USER_TICKS) + readProcessStat(process.pid(), SYSTEM_TICKS);
      Thread.sleep(1_000);
      long ticks =
          readProcessStat(process.pid(), USER_TICKS)
              + readProcessStat(process.pid(), SYSTEM_TICKS)
              - ticksBefore;
      assertTrue(
          ticks < MAX_TICKS,
          ticks + " hundredths of a second of CPU used in one second without free descriptors");
      for (Socket socket : idleSockets) {
        socket.close();
      }
      try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port.number())) {
        client.setSoTimeout(10_000);
        client
            .getOutputStream()
            .write("GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(
            "HTTP/1.1",
            new String(client.getInputStream().readNBytes(8), StandardCharsets.US_ASCII));
      }
      assertTrue(process.isAlive());
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void heapFollowsConfiguredMemoryForAnyJsonLayout() throws Exception {
    assertEquals(heapMbOf(COMPACT_CONFIG, 32), heapMbOf(indented(COMPACT_CONFIG), 32));
    long largeHeapMb = heapMbOf(COMPACT_CONFIG, 192);
    assertEquals(largeHeapMb, heapMbOf(indented(COMPACT_CONFIG), 192));
    assertTrue(
        largeHeapMb >= 2 * heapMbOf(COMPACT_CONFIG, 32),
        "heap of " + largeHeapMb + " MB with a limit of 192 MB");
    assertEquals(
        "", startupLog.lines().filter(line -> line.contains("memory_mb")).findFirst().orElse(""));
  }

  /**
   * A gateway that was started with SIGHUP ignored never reloads its configuration. Without the
   * warning, nobody would notice this until the address of discovery changes.
   */
  @Test
  void ignoredSighupIsLogged() throws Exception {
    heapMbOf(COMPACT_CONFIG, 64);
    assertFalse(startupLog.contains("SIGHUP"), startupLog);
    heapMbOf("trap '' HUP; ", COMPACT_CONFIG, 64);
    assertTrue(startupLog.contains("SIGHUP was ignored"), startupLog);
  }

  @Test
  void missingMemoryLimitUsesDefaultAndIsLogged() throws Exception {
    assertEquals(heapMbOf(COMPACT_CONFIG, 64), heapMbOf(CONFIG_WITHOUT_MEMORY, 0));
    assertTrue(startupLog.contains("no limits.memory_mb could be read"), startupLog);
    assertTrue(startupLog.contains("sized for 64 MB"), startupLog);
  }
}
