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

/** A call that may run once, over the death of its gateway. */
@Timeout(60)
class NonIdempotentCallsTest {
  @TempDir private Path folder;

  private ScenarioFixture fixture() {
    return new ScenarioFixture(
        s -> {
          s.putObject("durable")
              .put("path", folder.resolve("calls").toString())
              .put("waitMs", 5_000);
          ((ObjectNode) s.at("/classes/0"))
              .put("repeat", "once")
              .put("deadlineMs", 20_000)
              .put("aimMs", 10_000);
          ((ObjectNode) s.at("/classes/1")).put("deadlineMs", 20_000).put("aimMs", 10_000);
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

  private static int effects(ScenarioFixture fixture, String mark) {
    return fixture.events(TrafficEvent.Kind.DECODE_STARTED, mark).size();
  }

  @Test
  void aCallThatWasRelayedIsNotRunAgainByTheNextLifeOfItsGateway() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      ConversationClient.Answer first =
          call(
              new ConversationClient(fixture.port),
              "sale-lookup",
              "k1",
              "m1",
              "call the tool stock answer in 5 words");
      first.relayed();
      restart(fixture); // its client never answered
      ConversationClient session = new ConversationClient(fixture.port);
      JsonNode again =
          call(session, "sale-lookup", "k1", "m1-again", "call the tool stock answer in 5 words")
              .end();
      assertEquals(Mcp.FAILED, again.at("/error/code").asInt(), again.toString());
      assertEquals("may_have_run", again.at("/error/data/became").asText());
      assertFalse(again.at("/error/data/retryable").asBoolean(true));
      assertEquals(
          "[{\"tool\":\"stock\",\"answered\":false}]", again.at("/error/data/relayed").toString());
      assertEquals(1, effects(fixture, "m1"));
      assertTrue(
          fixture.events(TrafficEvent.Kind.PREFILL, "m1-again").isEmpty(),
          "nothing of it may be sent");
      JsonNode other = call(session, "sale-lookup", "k2", "m2", "answer in 5 words").end();
      assertEquals(
          " a0 a1 a2 a3 a4", other.at("/result/content/0/text").asText(), other.toString());
    }
  }

  @Test
  void whatWasServedIsToldSoInThisLifeAndTheNextAndWhatNeverRanMayRun() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      ConversationClient session = new ConversationClient(fixture.port);
      assertTrue(call(session, "sale-lookup", "k1", "m1", "answer in 5 words").end().has("result"));
      assertEquals(
          "served",
          call(session, "sale-lookup", "k1", "m1b", "answer in 5 words")
              .end()
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
          call(session, "sale-lookup", "k2", "m2", "answer in 5 words")
              .end()
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
      ConversationClient next = new ConversationClient(fixture.port);
      assertEquals(
          "served",
          call(next, "sale-lookup", "k1", "m1c", "answer in 5 words")
              .end()
              .at("/error/data/became")
              .asText());
      assertTrue(
          call(next, "sale-lookup", "k2", "m2b", "answer in 5 words").end().has("result"),
          "it never ran");
      assertTrue(
          call(next, "day-close", "k1", "m3", "answer in 5 words").end().has("result"),
          "safe to repeat");
      assertEquals(1, effects(fixture, "m1"));
      assertTrue(
          fixture.events(TrafficEvent.Kind.PREFILL, "m1b").isEmpty()
              && fixture.events(TrafficEvent.Kind.PREFILL, "m1c").isEmpty());
      JsonNode bad = call(next, "sale-lookup", "x".repeat(201), "m4", "answer in 5 words").end();
      assertTrue(
          bad.at("/error/message")
              .asText()
              .contains("/_meta/lemondock~1key: expected a text of 1 to 200"),
          bad.toString());
    }
  }

  @Test
  void aLogThatCannotBeReadKeepsTheGatewayFromStarting() throws Exception {
    Files.createDirectories(folder.resolve("calls"));
    Files.writeString(folder.resolve("calls").resolve("log-4"), "this is no log");
    try {
      fixture().close();
      throw new AssertionError("it started");
    } catch (java.io.UncheckedIOException e) {
      assertTrue(e.getMessage().contains("log-4"), e.getMessage());
    }
  }

  /** A folder whose syncs fail from that one on. */
  private static final class Failing extends ForwardingFiles {
    private volatile int goodSyncs;

    Failing(FileSystemPort files, int goodSyncs) {
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
  void nothingIsSentBeforeItIsDurable() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      Failing[] disk = new Failing[1];
      fixture.fleet.decorateFileSystem(f -> disk[0] = new Failing(f, 1_000));
      restart(fixture);
      ConversationClient session = new ConversationClient(fixture.port);
      disk[0].goodSyncs = 0;
      JsonNode refused = call(session, "sale-lookup", "k1", "m1", "answer in 5 words").end();
      assertEquals(Mcp.REJECTED, refused.at("/error/code").asInt(), refused.toString());
      assertTrue(
          refused.at("/error/data/retryable").asBoolean()
              && fixture.events(TrafficEvent.Kind.PREFILL, "m1").isEmpty());
      assertTrue(
          call(session, "day-close", "k3", "m3", "answer in 5 words").end().has("result"),
          "needs no disk");
      disk[0].goodSyncs = 1; // the call is remembered, its tool call is not
      JsonNode untold =
          call(session, "sale-lookup", "k2", "m2", "call the tool stock answer in 5 words").end();
      assertTrue(
          untold
              .at("/result/content/0/text")
              .asText()
              .contains("[the call was not made: it could not be remembered]"),
          untold.toString());
      disk[0].goodSyncs = 1_000;
      assertTrue(
          call(session, "sale-lookup", "k1", "m1b", "answer in 5 words").end().has("result"),
          "it never ran, and the disk is well again");
    }
  }
}
