package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lemondock.emulator.TrafficEvent;
import lemondock.idempotency.FileSystemPort;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Non-idempotent calls across a crash and restart of their gateway. */
@Timeout(60)
class NonIdempotentCallsTest {
  @TempDir private Path folder;

  private ScenarioFixture fixture() {
    return new ScenarioFixture(
        settings -> {
          settings
              .putObject("durable")
              .put("path", folder.resolve("calls").toString())
              .put("waitMs", 5_000);
          ((ObjectNode) settings.at("/classes/0"))
              .put("repeat", "once")
              .put("deadlineMs", 20_000)
              .put("aimMs", 10_000);
          ((ObjectNode) settings.at("/classes/1")).put("deadlineMs", 20_000).put("aimMs", 10_000);
        },
        ScenarioFixture.reader("r"),
        ScenarioFixture.writer("w"));
  }

  private static ConversationClient.Answer call(
      ConversationClient client, String tool, String key, String mark, String text)
      throws IOException, InterruptedException {
    return client.call(
        "7",
        tool,
        "#" + mark + "# " + text,
        text.contains("the tool") ? List.of("stock") : List.of(),
        key);
  }

  private static void restart(ScenarioFixture fixture) {
    fixture.fleet.killGateway(ScenarioFixture.GATEWAY);
    fixture.fleet.startGateway(ScenarioFixture.GATEWAY);
    assertTrue(fixture.fleet.awaitServers(ScenarioFixture.GATEWAY, 2, 10_000));
  }

  private static int startedDecodes(ScenarioFixture fixture, String mark) {
    return fixture.events(TrafficEvent.Kind.DECODE_STARTED, mark).size();
  }

  @Test
  void relayedCallIsNotRepeatedAfterGatewayRestart() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      ConversationClient.Answer first =
          call(
              new ConversationClient(fixture.port),
              "sale-lookup",
              "k1",
              "m1",
              "call the tool stock answer in 5 words");
      first.nextToolCall();
      restart(fixture); // the client has not posted the tool result
      ConversationClient client = new ConversationClient(fixture.port);
      JsonNode repeated =
          call(client, "sale-lookup", "k1", "m1-again", "call the tool stock answer in 5 words")
              .readToEnd();
      assertEquals(Mcp.FAILED, repeated.at("/error/code").asInt(), repeated.toString());
      assertEquals("may_have_run", repeated.at("/error/data/became").asText());
      assertFalse(repeated.at("/error/data/retryable").asBoolean(true));
      assertEquals(
          "[{\"tool\":\"stock\",\"answered\":false}]",
          repeated.at("/error/data/relayed").toString());
      assertEquals(1, startedDecodes(fixture, "m1"));
      assertTrue(
          fixture.events(TrafficEvent.Kind.PREFILL, "m1-again").isEmpty(),
          "the repeated call must not reach an engine");
      JsonNode other = call(client, "sale-lookup", "k2", "m2", "answer in 5 words").readToEnd();
      assertEquals(
          " a0 a1 a2 a3 a4", other.at("/result/content/0/text").asText(), other.toString());
    }
  }

  @Test
  void restartKeepsServedOutcomesAndAllowsCallsThatNeverRan() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      ConversationClient client = new ConversationClient(fixture.port);
      assertTrue(
          call(client, "sale-lookup", "k1", "m1", "answer in 5 words").readToEnd().has("result"));
      assertEquals(
          "served",
          call(client, "sale-lookup", "k1", "m1b", "answer in 5 words")
              .readToEnd()
              .at("/error/data/became")
              .asText());
      fixture
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                fixture.fleet.catalogue().setEmpty(true);
              });
      assertTrue(fixture.fleet.awaitServers(ScenarioFixture.GATEWAY, 0, 10_000));
      assertEquals(
          Mcp.REJECTED,
          call(client, "sale-lookup", "k2", "m2", "answer in 5 words")
              .readToEnd()
              .at("/error/code")
              .asInt());
      fixture
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                fixture.fleet.catalogue().setEmpty(false);
              });
      restart(fixture);
      ConversationClient clientAfterRestart = new ConversationClient(fixture.port);
      assertEquals(
          "served",
          call(clientAfterRestart, "sale-lookup", "k1", "m1c", "answer in 5 words")
              .readToEnd()
              .at("/error/data/became")
              .asText());
      assertTrue(
          call(clientAfterRestart, "sale-lookup", "k2", "m2b", "answer in 5 words")
              .readToEnd()
              .has("result"),
          "a call that never ran must be served");
      assertTrue(
          call(clientAfterRestart, "day-close", "k1", "m3", "answer in 5 words")
              .readToEnd()
              .has("result"),
          "a call of a class that is safe to repeat must be served");
      assertEquals(1, startedDecodes(fixture, "m1"));
      assertTrue(
          fixture.events(TrafficEvent.Kind.PREFILL, "m1b").isEmpty()
              && fixture.events(TrafficEvent.Kind.PREFILL, "m1c").isEmpty());
      JsonNode invalidKey =
          call(clientAfterRestart, "sale-lookup", "x".repeat(201), "m4", "answer in 5 words")
              .readToEnd();
      assertTrue(
          invalidKey
              .at("/error/message")
              .asText()
              .contains("/_meta/lemondock~1key: expected a text of 1 to 200"),
          invalidKey.toString());
    }
  }

  @Test
  void unreadableLogPreventsStart() throws Exception {
    Files.createDirectories(folder.resolve("calls"));
    Files.writeString(folder.resolve("calls").resolve("log-4"), "this is no log");
    try {
      fixture().close();
      throw new AssertionError("the gateway started with an unreadable log");
    } catch (java.io.UncheckedIOException e) {
      assertTrue(e.getMessage().contains("log-4"), e.getMessage());
    }
  }

  /** A directory whose syncs fail after the first {@code goodSyncs}. */
  private static final class FailingSyncFiles extends ForwardingFiles {
    private volatile int goodSyncs;

    FailingSyncFiles(FileSystemPort files, int goodSyncs) {
      super(files);
      this.goodSyncs = goodSyncs;
    }

    @Override
    public AppendFile append(String name) throws IOException {
      return new ForwardingOut(super.append(name)) {
        @Override
        public void sync() throws IOException {
          if (goodSyncs-- <= 0) {
            throw new IOException("No space left on device");
          }
          super.sync();
        }
      };
    }
  }

  @Test
  void callIsNotSentBeforeItIsDurable() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      FailingSyncFiles[] disk = new FailingSyncFiles[1];
      fixture.fleet.decorateFileSystem(files -> disk[0] = new FailingSyncFiles(files, 1_000));
      restart(fixture);
      ConversationClient client = new ConversationClient(fixture.port);
      disk[0].goodSyncs = 0;
      JsonNode rejected = call(client, "sale-lookup", "k1", "m1", "answer in 5 words").readToEnd();
      assertEquals(Mcp.REJECTED, rejected.at("/error/code").asInt(), rejected.toString());
      assertTrue(
          rejected.at("/error/data/retryable").asBoolean()
              && fixture.events(TrafficEvent.Kind.PREFILL, "m1").isEmpty());
      assertTrue(
          call(client, "day-close", "k3", "m3", "answer in 5 words").readToEnd().has("result"),
          "a class that is safe to repeat needs no durable record");
      disk[0].goodSyncs = 1; // the call becomes durable, its tool call does not
      JsonNode unrelayed =
          call(client, "sale-lookup", "k2", "m2", "call the tool stock answer in 5 words")
              .readToEnd();
      assertTrue(
          unrelayed
              .at("/result/content/0/text")
              .asText()
              .contains("[the call was not made: it could not be remembered]"),
          unrelayed.toString());
      disk[0].goodSyncs = 1_000;
      assertTrue(
          call(client, "sale-lookup", "k1", "m1b", "answer in 5 words").readToEnd().has("result"),
          "a call that never ran must be served once syncs succeed again");
    }
  }
}
