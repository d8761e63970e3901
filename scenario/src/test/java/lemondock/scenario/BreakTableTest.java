package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondock.emulator.EngineFaults;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The table of breaks: what breaks, at which moment of an answer with a tool call in its middle,
 * for which class of repeats, and what must be seen of it on the sockets; each row by itself and
 * each two rows that can come together. Whatever breaks, the auditor finds the rules kept, events
 * come in order, and nothing is left under way.
 */
@Timeout(60)
class BreakTableTest {
  private static final String PROMPT = "call the tool stock answer in 6 words";
  private static final String BEFORE = " a0 a1 a2 a3";
  private static final String AFTER = " b0 b1 b2 b3 b4 b5";
  private static final int TOOL_BYTES = 64;

  /** Rows are run a few at a time, each with a fleet to itself. */
  private static final int FLEETS = 3;

  private static final int READERS = 5;
  private static final int WRITERS = 3;
  private static final Map<String, BlockingQueue<ScenarioFixture>> FREE = new HashMap<>();
  private static final List<ScenarioFixture> FIXTURES = new ArrayList<>();
  private static final AtomicInteger NUMBER = new AtomicInteger();

  /** When something breaks. */
  enum Moment {
    /** Nothing of the answer has come. */
    READ,
    /** Two of the four tokens before the call have come. */
    TEXT,
    /** The text before the call is whole. */
    CALL,
    /** The call was relayed and its result is awaited. */
    TOOL,
    /** Two tokens behind the result have come. */
    AFTER
  }

  /** What breaks. */
  enum Break {
    /** The writer's connection. */
    WRITER,
    /** The writer goes silent. */
    STALL,
    /** The reader's connection, before its reply. */
    READER,
    /** The client's connection; it takes the stream up again. */
    STREAM,
    /** The client cancels. */
    CANCEL,
    /** The client's connection, for good. */
    LEAVE,
    /** The client ends its session. */
    DELETE,
    /** The tool's result comes twice. */
    TWICE,
    /** It never comes. */
    NEVER,
    /** It comes after its time. */
    LATE,
    /** It is larger than may be. */
    LARGE,
    /** It is no result at all. */
    ODD,
    /** It is an error of JSON-RPC: the client refuses. */
    ERROR,
    /** It says itself that the tool failed. */
    FAILS
  }

  /** How an answer ends. */
  enum End {
    SERVED,
    FAILED,
    NONE
  }

  /** A row: {@code middle} is what the model is told of the tool. */
  record Row(Break what, Moment moment, End safe, End unsafe, String middle) {
    @Override
    public String toString() {
      return what + " at " + moment;
    }
  }

  private static Row row(Break what, Moment moment, End safe, End unsafe) {
    return new Row(what, moment, safe, unsafe, "did-stock");
  }

  private static Row result(Break what, String middle) {
    return new Row(what, Moment.TOOL, End.SERVED, End.SERVED, middle);
  }

  /**
   * An unsafe class is one that may run once, or by key: what broke after it may have run is never
   * tried again.
   */
  private static final List<Row> ROWS =
      List.of(
          row(Break.WRITER, Moment.TEXT, End.SERVED, End.FAILED),
          row(Break.WRITER, Moment.CALL, End.SERVED, End.FAILED),
          row(Break.WRITER, Moment.AFTER, End.SERVED, End.FAILED),
          row(Break.STALL, Moment.TEXT, End.SERVED, End.FAILED),
          row(Break.STALL, Moment.CALL, End.SERVED, End.FAILED),
          row(Break.STALL, Moment.AFTER, End.SERVED, End.FAILED),
          row(Break.READER, Moment.READ, End.SERVED, End.SERVED),
          row(Break.READER, Moment.TOOL, End.SERVED, End.SERVED),
          row(Break.STREAM, Moment.READ, End.SERVED, End.SERVED),
          row(Break.STREAM, Moment.TEXT, End.SERVED, End.SERVED),
          row(Break.STREAM, Moment.TOOL, End.SERVED, End.SERVED),
          row(Break.STREAM, Moment.AFTER, End.SERVED, End.SERVED),
          row(Break.CANCEL, Moment.READ, End.NONE, End.NONE),
          row(Break.CANCEL, Moment.TEXT, End.NONE, End.NONE),
          row(Break.CANCEL, Moment.TOOL, End.NONE, End.NONE),
          row(Break.CANCEL, Moment.AFTER, End.NONE, End.NONE),
          row(Break.LEAVE, Moment.READ, End.NONE, End.NONE),
          row(Break.LEAVE, Moment.TEXT, End.NONE, End.NONE),
          row(Break.LEAVE, Moment.TOOL, End.NONE, End.NONE),
          row(Break.LEAVE, Moment.AFTER, End.NONE, End.NONE),
          row(Break.DELETE, Moment.READ, End.NONE, End.NONE),
          row(Break.DELETE, Moment.TEXT, End.NONE, End.NONE),
          row(Break.DELETE, Moment.TOOL, End.NONE, End.NONE),
          row(Break.DELETE, Moment.AFTER, End.NONE, End.NONE),
          result(Break.TWICE, "did-stock"),
          result(Break.NEVER, "the tool gave no result in time"),
          result(Break.LATE, "the tool gave no result in time"),
          result(Break.LARGE, "the tool's result was larger than " + TOOL_BYTES + " characters"),
          result(Break.ODD, ""),
          result(Break.ERROR, "error -32001: not I"),
          result(Break.FAILS, "broken"));

  @BeforeAll
  static void start() {
    for (String repeat : List.of("safe", "once", "keyed")) {
      FREE.put(repeat, new LinkedBlockingQueue<>());
      for (int i = 0; i < (repeat.equals("keyed") ? 1 : FLEETS); i++) {
        FIXTURES.add(fixture(repeat));
        FREE.get(repeat).add(FIXTURES.get(FIXTURES.size() - 1));
      }
    }
  }

  private static ScenarioFixture fixture(String repeat) {
    List<EngineSettings> engines = new ArrayList<>();
    IntStream.rangeClosed(1, READERS)
        .forEach(i -> engines.add(slow(ScenarioFixture.reader("r" + i))));
    IntStream.rangeClosed(1, WRITERS)
        .forEach(i -> engines.add(slow(ScenarioFixture.writer("w" + i))));
    return new ScenarioFixture(
        s -> {
          ObjectNode cls = (ObjectNode) s.at("/classes/0");
          cls.put("repeat", repeat)
              .put("deadlineMs", 20_000)
              .put("aimMs", 10_000)
              .put("toolTimeoutMs", 800)
              .put("maxToolResultBytes", TOOL_BYTES);
          if (repeat.equals("keyed")) {
            cls.put("repeatWindowMs", 5_000);
          }
          ((ObjectNode) s.get("engines")).put("streamSilenceMs", 800);
          ((ObjectNode) s.get("front")).put("resumeWindowMs", 1_500);
        },
        engines.toArray(EngineSettings[]::new));
  }

  /** Slow enough for a client to do something within a token's time; no row hangs on it. */
  private static EngineSettings slow(EngineSettings engine) {
    return engine.withLatencies(engine.readMs(), engine.firstMs(), 10);
  }

  @AfterAll
  static void stop() {
    FIXTURES.forEach(ScenarioFixture::close);
  }

  static Stream<Arguments> single() {
    return Stream.of("safe", "once", "keyed")
        .flatMap(repeat -> ROWS.stream().map(row -> Arguments.of(repeat, List.of(row))));
  }

  /**
   * Two rows that can come in one answer: the second later than the first, or a broken client's
   * stream beside anything.
   */
  static Stream<Arguments> pairs() {
    List<Arguments> all = new ArrayList<>();
    for (String repeat : List.of("safe", "once")) {
      for (Row first : ROWS) {
        for (Row second : ROWS) {
          boolean goesOn = (repeat.equals("safe") ? first.safe() : first.unsafe()) == End.SERVED;
          boolean later = first.moment().compareTo(second.moment()) < 0;
          boolean beside =
              first.moment() == second.moment()
                  && first.what() == Break.STREAM
                  && second.what() != Break.STREAM;
          boolean oneTool =
              first.moment() != Moment.TOOL
                  || second.moment() != Moment.TOOL
                  || first.what() == Break.STREAM;
          if (goesOn && (later || beside) && oneTool) {
            all.add(Arguments.of(repeat, List.of(first, second)));
          }
        }
      }
    }
    Collections.shuffle(
        all, new Random(12)); // one reader after the other broken would all be put aside, and
    // rightly
    return all.stream();
  }

  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest(name = "{0}: {1}")
  @MethodSource("single")
  void aloneItEndsAsTheTableSays(String repeat, List<Row> rows) throws Exception {
    check(repeat, rows);
  }

  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest(name = "{0}: {1}")
  @MethodSource("pairs")
  void inPairsToo(String repeat, List<Row> rows) throws Exception {
    check(repeat, rows);
  }

  private static void check(String repeat, List<Row> rows) throws Exception {
    ScenarioFixture fixture = FREE.get(repeat).take();
    try {
      check(fixture, repeat, rows);
    } finally {
      FREE.get(repeat).add(fixture);
    }
  }

  private static void check(ScenarioFixture fixture, String repeat, List<Row> rows)
      throws Exception {
    Run run = new Run(fixture, rows, "row" + NUMBER.incrementAndGet());
    CallRecord seen = run.go();
    End wanted = End.SERVED;
    String middle = "did-stock";
    for (Row row : rows) {
      End end = repeat.equals("safe") ? row.safe() : row.unsafe();
      wanted = wanted == End.SERVED ? end : wanted;
      middle =
          row.moment() == Moment.TOOL && !row.middle().equals("did-stock") ? row.middle() : middle;
    }
    String whole = BEFORE + "[" + middle + "]" + AFTER;
    String streamed = seen.streamed.toString();
    assertTrue(whole.startsWith(streamed), "streamed '" + streamed + "' of '" + whole + "'");
    assertEquals(
        wanted,
        seen.responses == 0 ? End.NONE : seen.served() ? End.SERVED : End.FAILED,
        "code " + seen.errorCode);
    if (wanted == End.SERVED) {
      assertEquals(whole, streamed);
      assertEquals(whole, seen.finalText);
      assertEquals(List.of("stock{\"turn\":0,\"number\":0}"), seen.toolCalls);
    } else if (wanted == End.FAILED) {
      assertFalse(seen.retryable && !repeat.equals("safe"), "it may have run");
    }
    assertTrue(
        new HashSet<>(seen.toolCalls).size() == seen.toolCalls.size(),
        "relayed twice: " + seen.toolCalls);
    for (int i = 1; i < run.numbers.size(); i++) {
      assertTrue(
          run.numbers.get(i) > run.numbers.get(i - 1), "events out of order: " + run.numbers);
    }
    if (!repeat.equals("safe")) {
      assertTrue(
          fixture.events(TrafficEvent.Kind.DECODE_STARTED, run.mark).stream()
                  .map(TrafficEvent::value)
                  .distinct()
                  .count()
              == fixture.events(TrafficEvent.Kind.DECODE_STARTED, run.mark).size(),
          "a leg ran twice");
    }
    fixture.awaitIdle();
    rulesKept(fixture, seen);
  }

  /** The auditor's word on all that passed on the engines' sockets and on this client's. */
  private static void rulesKept(ScenarioFixture fixture, CallRecord seen) {
    ScenarioRecording recording =
        new ScenarioRecording(
            fixture.settings,
            fixture.fleet.engineSettings(),
            fixture.fleet.events().stream()
                .filter(e -> e.mark().isEmpty() || e.mark().equals(seen.mark))
                .toList(),
            List.of(seen),
            List.of(),
            List.of(),
            fixture.clients.loop().now());
    AuditResult audit = ScenarioAuditor.check(recording);
    assertTrue(audit.allRulesKept(), audit.violations().toString());
  }

  /** One answer, and what is done to it. */
  private static final class Run {
    private final ScenarioFixture fixture;
    private final List<Row> rows;
    private final String mark;
    private final CallRecord seen;
    private final ConversationClient client;
    private List<Long> numbers = List.of();
    private boolean gone;

    Run(ScenarioFixture fixture, List<Row> rows, String mark)
        throws IOException, InterruptedException {
      this.fixture = fixture;
      this.rows = rows;
      this.mark = mark;
      this.client = new ConversationClient(fixture.port);
      this.seen =
          new CallRecord(mark, ScenarioFixture.GATEWAY, 0, 0, false, fixture.clients.loop().now());
    }

    private boolean has(Break what, Moment moment) {
      return rows.stream().anyMatch(r -> r.what() == what && r.moment() == moment);
    }

    /** Breaks one request at whichever engine of a kind it comes to. */
    private void faults(String kind, Consumer<EngineFaults> change) {
      fixture
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                EngineFaults.Hits one = new EngineFaults.Hits(1);
                for (int i = 1; i <= (kind.equals("r") ? READERS : WRITERS); i++) {
                  EngineFaults faults = fixture.fleet.engine(kind + i).faults();
                  faults.hits = one;
                  change.accept(faults);
                }
              });
    }

    private void heal() {
      faults(
          "w",
          f -> {
            f.breakAfterTokens = -1;
            f.stallAfterTokens = -1;
          });
      faults("r", f -> f.rawResponse = null);
    }

    private void writers(Moment moment, int after) {
      if (has(Break.WRITER, moment)) {
        faults("w", f -> f.breakAfterTokens = after);
      } else if (has(Break.STALL, moment)) {
        faults("w", f -> f.stallAfterTokens = after);
      }
    }

    private void readers(Moment moment) {
      if (has(Break.READER, moment)) {
        faults("r", f -> f.rawResponse = new byte[0]);
      }
    }

    CallRecord go() throws Exception {
      writers(Moment.TEXT, 2);
      writers(Moment.CALL, 4);
      readers(Moment.READ);
      try (ConversationClient.Answer answer =
          client.call("7", "sale-lookup", "#" + mark + "# " + PROMPT, List.of("stock"))) {
        numbers = answer.numbers;
        answer.primed();
        client(answer, Moment.READ);
        int words = 0;
        boolean relayed = false;
        for (JsonNode message = gone ? null : answer.next();
            message != null;
            message = gone ? null : answer.next()) {
          seen.firstMessageAtMicros =
              seen.firstMessageAtMicros == 0
                  ? fixture.clients.loop().now()
                  : seen.firstMessageAtMicros;
          if (seen.responses > 0) {
            seen.messagesAfterAnswer++;
          }
          if (message.path("method").asText().equals(Mcp.PROGRESS)) {
            seen.streamed.append(message.at("/params/message").asText());
            words++;
            if (words == 2) {
              client(answer, relayed ? Moment.AFTER : Moment.TEXT);
            }
          } else if (message.path("method").asText().equals(Mcp.TOOLS_CALL)) {
            seen.toolCalls.add(
                message.at("/params/name").asText() + message.at("/params/arguments"));
            relayed = true;
            words = 0;
            heal();
            writers(Moment.AFTER, 2);
            readers(Moment.TOOL);
            client(answer, Moment.TOOL);
            tool(message.get("id"));
          } else if (message.has("result") || message.has("error")) {
            end(message);
          }
        }
      } finally {
        heal();
      }
      return seen;
    }

    /** What the client's side does to the answer. */
    private void client(ConversationClient.Answer answer, Moment moment)
        throws IOException, InterruptedException {
      if (has(Break.STREAM, moment)) {
        answer.resume();
      }
      if (has(Break.CANCEL, moment)) {
        seen.cancelledAtMicros = fixture.clients.loop().now();
        client.post(
            "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":7}}");
      } else if (has(Break.LEAVE, moment)) {
        seen.cancelledAtMicros = fixture.clients.loop().now();
        answer.close();
        gone = true;
      } else if (has(Break.DELETE, moment)) {
        seen.cancelledAtMicros = fixture.clients.loop().now();
        client.delete();
      }
    }

    private void tool(JsonNode id) throws IOException, InterruptedException {
      if (has(Break.NEVER, Moment.TOOL)
          || seen.cancelledAtMicros != 0 && !has(Break.CANCEL, Moment.TOOL)) {
        return;
      } // after a cancel the result comes all the same, and nobody may mind
      String text =
          has(Break.LARGE, Moment.TOOL)
              ? "x".repeat(TOOL_BYTES + 1)
              : has(Break.FAILS, Moment.TOOL) ? "broken" : "did-stock";
      String result =
          "{\"jsonrpc\":\"2.0\",\"id\":"
              + id
              + ",\"result\":{\"content\":[{\"type\":\"text\",\"text\":\""
              + text
              + "\"}],\"isError\":"
              + has(Break.FAILS, Moment.TOOL)
              + "}}";
      if (has(Break.ERROR, Moment.TOOL)) {
        result =
            "{\"jsonrpc\":\"2.0\",\"id\":"
                + id
                + ",\"error\":{\"code\":-32001,\"message\":\"not I\"}}";
      } else if (has(Break.ODD, Moment.TOOL)) {
        result = "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":7}";
      }
      if (has(Break.LATE, Moment.TOOL)) { // the next leg has begun: its time is over
        ScenarioFixture.await(
            "the model told",
            () ->
                fixture.events(TrafficEvent.Kind.DECODE_STARTED, mark).stream()
                    .anyMatch(e -> e.value() > 2));
      }
      client.post(result);
      if (has(Break.TWICE, Moment.TOOL)) {
        client.post(result);
      }
    }

    private void end(JsonNode message) {
      assertNotNull(message.get("id"));
      seen.responses++;
      seen.answeredAtMicros = fixture.clients.loop().now();
      if (message.has("error")) {
        seen.errorCode = message.at("/error/code").asInt();
        seen.retryable = message.at("/error/data/retryable").asBoolean(false);
      } else {
        seen.finalText = message.at("/result/content/0/text").asText();
      }
    }
  }
}
