package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Builds the TypeScript client and runs its own tests against a gateway; where Node or its packages
 * cannot be had it says so.
 */
@Timeout(240)
class TypeScriptClientTest {
  private static final Path CLIENT =
      Path.of("..", "clients", "typescript").toAbsolutePath().normalize();

  /**
   * How npm says that the fault is the package's, not that of a registry which is not there or says
   * no.
   */
  private static final List<String> OURS =
      List.of("EUSAGE", "EINTEGRITY", "ERESOLVE", "EJSONPARSE", "ETARGET");

  @TempDir private Path folder;

  private record Outcome(int code, String text) {}

  private Outcome run(Map<String, String> environment, String... command)
      throws IOException, InterruptedException {
    Path out = Files.createTempFile(folder, "out", ".txt");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(CLIENT.toFile())
            .redirectErrorStream(true)
            .redirectOutput(out.toFile());
    builder.environment().putAll(environment);
    Process process;
    try {
      process = builder.start();
    } catch (IOException e) {
      return new Outcome(-1, e.getMessage());
    }
    boolean ended = process.waitFor(180, TimeUnit.SECONDS);
    process.destroyForcibly();
    return new Outcome(
        ended ? process.exitValue() : -2, Files.readString(out, StandardCharsets.UTF_8));
  }

  @Test
  void itsOwnTestsPassAgainstTheGateway() throws Exception {
    Outcome node = run(Map.of(), "node", "--version");
    assumeTrue(
        node.code() == 0 && node.text().matches("v(1[89]|[2-9]\\d).*\\s*"),
        "Node 18 or later is not present: the TypeScript client was neither built nor" + " tested");
    Outcome packages = run(Map.of(), "npm", "ci", "--no-audit", "--no-fund");
    assumeTrue(
        packages.code() == 0 || OURS.stream().anyMatch(packages.text()::contains),
        "the packages of the TypeScript client cannot be had: it was neither built nor"
            + " tested");
    assertEquals(0, packages.code(), packages.text());
    Outcome built = run(Map.of(), "npm", "run", "build");
    assertEquals(0, built.code(), built.text());
    List<String> tests;
    try (Stream<Path> files = Files.list(CLIENT.resolve("dist/test"))) {
      tests = files.map(Path::toString).filter(f -> f.endsWith(".test.js")).toList();
    }
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {
              ((ObjectNode) s.at("/classes/0")).put("deadlineMs", 20_000).put("aimMs", 10_000);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      Outcome tested =
          run(
              Map.of("LEMONDOCK_URL", "http://127.0.0.1:" + fixture.port + "/mcp"),
              Stream.concat(Stream.of("node", "--test"), tests.stream()).toArray(String[]::new));
      assertEquals(0, tested.code(), tested.text());
    }
  }
}
