package lemondock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The {@code run} line of the deploy file as the platform starts it: no program but {@code java} to be found, no fork. */
class LauncherTest {
    private static final int CHILDREN_FAULTS = 8; // of /proc/PID/stat behind the name: page faults of children that ended
    private static final String COMPACT = "{\"name\":\"n\",\"listen\":\"%1$s\",\"discovery\":\"%1$s\",\"seed\":\"1\","
            + "\"limits\":{\"cores\":0.5,\"memory_mb\":%2$d,\"sockets\":256},"
            + "\"known\":{\"version\":1,\"full\":true,\"servers\":[]},"
            + "\"settings\":{\"siblings\":1,\"skus\":[\"r\",\"w\"],\"resolution-ms\":2,\"tenants\":[],"
            + "\"classes\":[{\"name\":\"c\",\"goal-time-ms\":100,\"deadline-ms\":500,\"credit\":1,\"repeat\":\"once\"}],"
            + "\"limits\":{\"max-attempts\":4},\"specifics\":{\"duty-by-kind\":[\"read\",\"write\"]}}}";
    private static final String UNTOLD = COMPACT.replace("\"memory_mb\":%2$d,", "");

    @TempDir
    private Path folder;

    private String said = "";

    /** The same JSON, each bracket, comma and colon on a line of its own or beside blanks. */
    private static String indented(String json) {
        return json.replaceAll("([{\\[,])", "$1\n\t ").replaceAll("([}\\]])", "\n$1").replaceAll("\":(?=[\\[{\"0-9tf])", "\"\n :\r\n ");
    }

    /** Starts a gateway, waits until it listens, ends it by SIGTERM; gives its heap in MB. */
    private long heapOf(String json, int memory) throws Exception {
        String run = Files.readAllLines(Path.of("../deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .findFirst().orElseThrow().replaceAll("^run = \"|\"$", "");
        Path programs = Files.createDirectories(folder.resolve("programs"));
        if (!Files.exists(programs.resolve("java"))) {
            Files.createSymbolicLink(programs.resolve("java"), Path.of(System.getProperty("java.home"), "bin", "java"));
        }
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path config = Files.writeString(folder.resolve("config.json"), json.formatted("127.0.0.1:" + port, memory));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(Path.of("..").toFile()).redirectErrorStream(true);
        builder.environment().put("PATH", programs.toString());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("LEMONDOCK_NODE_OPTS", "-XX:+PrintFlagsFinal");
        Process process = builder.start();
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
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
        Path stat = Path.of("/proc/" + pid + "/stat");
        if (!Files.exists(stat)) {
            return 0; // only Linux tells
        }
        String told = Files.readString(stat);
        return Long.parseLong(told.substring(told.lastIndexOf(')') + 2).split(" ")[CHILDREN_FAULTS]);
    }

    @Test
    void heapFollowsTheToldMemoryUnderAnyLayout() throws Exception {
        assertEquals(heapOf(COMPACT, 32), heapOf(indented(COMPACT), 32));
        long large = heapOf(COMPACT, 192);
        assertEquals(large, heapOf(indented(COMPACT), 192));
        assertTrue(large >= 2 * heapOf(COMPACT, 32), "heap of " + large + " MB of 192");
        assertEquals("", said.lines().filter(l -> l.contains("memory_mb")).findFirst().orElse(""));
    }

    @Test
    void memoryThatIsNotToldHasADefaultAndALine() throws Exception {
        assertEquals(heapOf(COMPACT, 64), heapOf(UNTOLD, 0));
        assertTrue(said.contains("no limits.memory_mb could be read"), said);
        assertTrue(said.contains("sized for 64 MB"), said);
    }
}
