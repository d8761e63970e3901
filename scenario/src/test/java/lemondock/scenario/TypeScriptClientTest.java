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
 * Builds the TypeScript client and runs its own tests against a gateway. Where Node or the packages
 * cannot be installed, the test is skipped with a message that says so.
 */
@Timeout(240)
class TypeScriptClientTest {
  private static final Path CLIENT_DIRECTORY =
      Path.of("..", "clients", "typescript").toAbsolutePath().normalize();

  /**
   * Error codes of npm for faults of the package itself, as opposed to a registry that cannot be
   * reached or refuses a request.
   */
  private static final List<String> PACKAGE_ERROR_CODES =
      List.of("EUSAGE", "EINTEGRITY", "ERESOLVE", "EJSONPARSE", "ETARGET");

  @TempDir private Path folder;

  /** Exit code and output of a command; -1 if it could not be started, -2 if it timed out. */
  private record CommandResult(int exitCode, String output) {}

  private CommandResult run(Map<String, String> environment, String... command)
      throws IOException, InterruptedException {
    Path outputFile = Files.createTempFile(folder, "out", ".txt");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(CLIENT_DIRECTORY.toFile())
            .redirectErrorStream(true)
            .redirectOutput(outputFile.toFile());
    builder.environment().putAll(environment);
    Process process;
    try {
      process = builder.start();
    } catch (IOException e) {
      return new CommandResult(-1, e.getMessage());
    }
    boolean exited = process.waitFor(180, TimeUnit.SECONDS);
    process.destroyForcibly();
    return new CommandResult(
        exited ? process.exitValue() : -2, Files.readString(outputFile, StandardCharsets.UTF_8));
  }

  @Test
  void clientTestsPassAgainstTheGateway() throws Exception {
    CommandResult node = run(Map.of(), "node", "--version");
    assumeTrue(
        node.exitCode() == 0 && node.output().matches("v(1[89]|[2-9]\\d).*\\s*"),
        "Node 18 or later is not present: the TypeScript client was neither built nor tested");
    CommandResult installed = run(Map.of(), "npm", "ci", "--no-audit", "--no-fund");
    assumeTrue(
        installed.exitCode() == 0
            || PACKAGE_ERROR_CODES.stream().anyMatch(installed.output()::contains),
        "the packages of the TypeScript client cannot be installed: it was neither built nor"
            + " tested");
    assertEquals(0, installed.exitCode(), installed.output());
    CommandResult built = run(Map.of(), "npm", "run", "build");
    assertEquals(0, built.exitCode(), built.output());
    List<String> tests;
    try (Stream<Path> files = Files.list(CLIENT_DIRECTORY.resolve("dist/test"))) {
      tests = files.map(Path::toString).filter(f -> f.endsWith(".test.js")).toList();
    }
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> {
              ((ObjectNode) settings.at("/classes/0"))
                  .put("deadlineMs", 20_000)
                  .put("aimMs", 10_000);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      CommandResult tested =
          run(
              Map.of("LEMONDOCK_URL", "http://127.0.0.1:" + fixture.port + "/mcp"),
              Stream.concat(Stream.of("node", "--test"), tests.stream()).toArray(String[]::new));
      assertEquals(0, tested.exitCode(), tested.output());
    }
  }
}
