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
 * The {@code run} line of the deploy file as the platform starts it: no program but {@code java} to
 * be found, no fork.
 */
class LauncherTest {
  private static final int CHILDREN_FAULTS =
      8; // of /proc/PID/stat behind the name: page faults of children that ended
  private static final int TICKS_IN_USER = 11;
  private static final int TICKS_IN_SYSTEM = 12;
  private static final long MOST_TICKS = 50; // half a core; a busy loop takes a whole one
  private static final String COMPACT =
      "{\"name\":\"n\",\"listen\":\"%1$s\",\"discovery\":\"%1$s\",\"seed\":\"1\","
          + "\"limits\":{\"cores\":0.5,\"memory_mb\":%2$d,\"sockets\":256},"
          + "\"known\":{\"version\":1,\"full\":true,\"servers\":[]},"
          + "\"settings\":{\"siblings\":1,\"skus\":[\"r\",\"w\"],\"resolution-ms\":2,\"tenants\":[],"
          + "\"classes\":[{\"name\":\"c\",\"goal-time-ms\":100,\"deadline-ms\":500,\"credit\":1,\"repeat\":\"once\"}],"
          + "\"limits\":{\"max-attempts\":4},\"specifics\":{\"duty-by-kind\":[\"read\",\"write\"]}}}";
  private static final String UNTOLD = COMPACT.replace("\"memory_mb\":%2$d,", "");

  @TempDir private Path folder;

  private final LoopbackPort port = LoopbackPort.reserve();
  private String said = "";

  @AfterEach
  void releasePort() {
    port.close();
  }

  /** The same JSON, each bracket, comma and colon on a line of its own or beside blanks. */
  private static String indented(String json) {
    return json.replaceAll("([{\\[,])", "$1\n\t ")
        .replaceAll("([}\\]])", "\n$1")
        .replaceAll("\":(?=[\\[{\"0-9tf])", "\"\n :\r\n ");
  }

  /**
   * A gateway of that configuration as the platform starts it, with {@code before} run by the same
   * shell first.
   */
  private ProcessBuilder gateway(String before, String json, int memory) throws Exception {
    String run =
        Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
            .filter(l -> l.startsWith("run = "))
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
            folder.resolve("config.json"), json.formatted("127.0.0.1:" + port.number(), memory));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", before + run)
            .directory(Path.of("..").toFile())
            .redirectErrorStream(true);
    builder.environment().put("PATH", programs.toString());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    return builder;
  }

  /** Starts a gateway, waits until it listens, ends it by SIGTERM; gives its heap in MB. */
  private long heapOf(String json, int memory) throws Exception {
    return heapOf("", json, memory);
  }

  private long heapOf(String before, String json, int memory) throws Exception {
    ProcessBuilder builder = gateway(before, json, memory);
    builder.environment().put("LEMONDOCK_NODE_OPTS", "-XX:+PrintFlagsFinal");
    Process process = builder.start();
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      List<String> seen = new ArrayList<>();
      long heap = 0;
      String line = lines.readLine();
      for (; line != null && !line.contains("listens on"); line = lines.readLine()) {
        if (line.matches(" *size_t MaxHeapSize .*")) {
          heap = Long.parseLong(line.replaceAll(".*= *([0-9]+) .*", "$1")) >> 20;
        } else if (!line.contains(" = ")) {
          seen.add(line);
        }
      }
      said = String.join("\n", seen);
      assertNotEquals(null, line, said);
      assertEquals(0, childrenFaults(process.pid()), "the launcher forked");
      process.toHandle().destroy(); // unlike the process's own method this leaves its output open
      while (lines.readLine() != null) {
        Thread.onSpinWait();
      }
      assertTrue(process.waitFor(20, TimeUnit.SECONDS));
      assertEquals(0, process.exitValue());
      return heap;
    } finally {
      process.destroyForcibly();
    }
  }

  private static long childrenFaults(long pid) throws IOException {
    return statistic(pid, CHILDREN_FAULTS);
  }

  private static long statistic(long pid, int field) throws IOException {
    Path stat = Path.of("/proc/" + pid + "/stat");
    if (!Files.exists(stat)) {
      return 0; // only Linux tells
    }
    String told = Files.readString(stat);
    return Long.parseLong(told.substring(told.lastIndexOf(')') + 2).split(" ")[field]);
  }

  /**
   * More idle clients than the process may have descriptors, though it was told of more: it neither
   * ends nor spins, and accepts again.
   */
  @Test
  void acceptingResumesAfterALackOfDescriptors() throws Exception {
    Process process = gateway("ulimit -n 100; ", COMPACT, 64).start();
    List<Socket> idle = new ArrayList<>();
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); !line.contains("listens on"); line = lines.readLine()) {
        assertTrue(process.isAlive(), line);
      }
      for (int i = 0; i < 150; i++) {
        idle.add(new Socket(InetAddress.getLoopbackAddress(), port.number()));
      }
      Thread.sleep(300); // past the moment in which descriptors ran out
      long before =
          statistic(process.pid(), TICKS_IN_USER) + statistic(process.pid(), TICKS_IN_SYSTEM);
      Thread.sleep(1_000);
      long ticks =
          statistic(process.pid(), TICKS_IN_USER)
              + statistic(process.pid(), TICKS_IN_SYSTEM)
              - before;
      assertTrue(
          ticks < MOST_TICKS, ticks + " hundredths of a second of CPU in one second of want");
      for (Socket each : idle) {
        each.close();
      }
      try (Socket asks = new Socket(InetAddress.getLoopbackAddress(), port.number())) {
        asks.setSoTimeout(10_000);
        asks.getOutputStream()
            .write("GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(
            "HTTP/1.1", new String(asks.getInputStream().readNBytes(8), StandardCharsets.US_ASCII));
      }
      assertTrue(process.isAlive());
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void heapFollowsTheToldMemoryUnderAnyLayout() throws Exception {
    assertEquals(heapOf(COMPACT, 32), heapOf(indented(COMPACT), 32));
    long large = heapOf(COMPACT, 192);
    assertEquals(large, heapOf(indented(COMPACT), 192));
    assertTrue(large >= 2 * heapOf(COMPACT, 32), "heap of " + large + " MB of 192");
    assertEquals("", said.lines().filter(l -> l.contains("memory_mb")).findFirst().orElse(""));
  }

  /** A reload that never comes would go unseen until discovery has moved. */
  @Test
  void anIgnoredHangupIsSaid() throws Exception {
    heapOf(COMPACT, 64);
    assertFalse(said.contains("SIGHUP"), said);
    heapOf("trap '' HUP; ", COMPACT, 64);
    assertTrue(said.contains("SIGHUP was ignored"), said);
  }

  @Test
  void memoryThatIsNotToldHasADefaultAndALine() throws Exception {
    assertEquals(heapOf(COMPACT, 64), heapOf(UNTOLD, 0));
    assertTrue(said.contains("no limits.memory_mb could be read"), said);
    assertTrue(said.contains("sized for 64 MB"), said);
  }
}
