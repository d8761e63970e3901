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
 * A table of faults: which fault occurs, at which moment of an answer with a tool call in its
 * middle, and what the client must see for each repeat mode of the request class ("safe", "once",
 * "keyed"). Each row runs alone and in each pair of rows that can occur in one answer. After every
 * fault the auditor must find all rules kept, stream events must arrive in order, and no request
 * may remain in flight.
 */
@Timeout(60)
class BreakTableTest {
  private static final String PROMPT = "call the tool stock answer in 6 words";
  private static final String TEXT_BEFORE_CALL = " a0 a1 a2 a3";
  private static final String TEXT_AFTER_RESULT = " b0 b1 b2 b3 b4 b5";
  private static final String TOOL_TEXT = "did-stock";
  private static final int MAX_TOOL_RESULT_BYTES = 64;

  /** Fleets per repeat mode. Rows run concurrently, and each has a fleet to itself. */
  private static final int FLEETS_PER_REPEAT_MODE = 3;

  private static final int READERS = 5;
  private static final int WRITERS = 3;
  private static final Map<String, BlockingQueue<ScenarioFixture>> IDLE_FIXTURES = new HashMap<>();
  private static final List<ScenarioFixture> ALL_FIXTURES = new ArrayList<>();
  private static final AtomicInteger RUN_COUNT = new AtomicInteger();

  /** The moment of the answer at which a fault occurs. */
  enum Moment {
    /** The prompt is being read (prefill); nothing of the answer has arrived. */
    READ,
    /** Two of the four tokens before the tool call have arrived. */
    TEXT,
    /** The text before the tool call is complete. */
    TOOL_CALL,
    /** The tool call was relayed and its result is awaited. */
    TOOL_RESULT,
    /** Two tokens after the tool result have arrived. */
    AFTER_RESULT
  }

  /** The fault that a row injects. */
  enum Fault {
    /** The writer closes its connection. */
    WRITER_DISCONNECT,
    /** The writer stops sending. */
    WRITER_STALL,
    /** The reader closes its connection before its reply. */
    READER_DISCONNECT,
    /** The client's connection breaks and the client resumes the stream. */
    CLIENT_RECONNECT,
    /** The client cancels the call. */
    CLIENT_CANCEL,
    /** The client disconnects and does not come back. */
    CLIENT_DISCONNECT,
    /** The client deletes its session. */
    SESSION_DELETE,
    /** The client posts the tool's result twice. */
    DUPLICATE_RESULT,
    /** The client never posts the tool's result. */
    MISSING_RESULT,
    /** The tool's result arrives after the tool timeout. */
    LATE_RESULT,
    /** The tool's result exceeds {@link #MAX_TOOL_RESULT_BYTES}. */
    OVERSIZED_RESULT,
    /** The result member is not a tool result. */
    MALFORMED_RESULT,
    /** The client answers the relayed call with a JSON-RPC error. */
    ERROR_RESPONSE,
    /** The result has {@code isError} set. */
    TOOL_FAILURE
  }

  /** How an answer ends: with a result, with an error, or without a response. */
  enum Ending {
    SERVED,
    FAILED,
    NO_RESPONSE
  }

  /**
   * A row of the table.
   *
   * @param safe expected ending where repeats are safe
   * @param unsafe expected ending in the repeat modes "once" and "keyed"
   * @param toolText what the model is told as the tool's result
   */
  record Row(Fault fault, Moment moment, Ending safe, Ending unsafe, String toolText) {
    @Override
    public String toString() {
      return fault + " at " + moment;
    }
  }

  private static Row row(Fault fault, Moment moment, Ending safe, Ending unsafe) {
    return new Row(fault, moment, safe, unsafe, TOOL_TEXT);
  }

  private static Row toolResultRow(Fault fault, String toolText) {
    return new Row(fault, Moment.TOOL_RESULT, Ending.SERVED, Ending.SERVED, toolText);
  }

  /**
   * A class is unsafe in the repeat modes "once" and "keyed": an attempt that broke off after it
   * may have run is never retried.
   */
  private static final List<Row> ROWS =
      List.of(
          row(Fault.WRITER_DISCONNECT, Moment.TEXT, Ending.SERVED, Ending.FAILED),
          row(Fault.WRITER_DISCONNECT, Moment.TOOL_CALL, Ending.SERVED, Ending.FAILED),
          row(Fault.WRITER_DISCONNECT, Moment.AFTER_RESULT, Ending.SERVED, Ending.FAILED),
          row(Fault.WRITER_STALL, Moment.TEXT, Ending.SERVED, Ending.FAILED),
          row(Fault.WRITER_STALL, Moment.TOOL_CALL, Ending.SERVED, Ending.FAILED),
          row(Fault.WRITER_STALL, Moment.AFTER_RESULT, Ending.SERVED, Ending.FAILED),
          row(Fault.READER_DISCONNECT, Moment.READ, Ending.SERVED, Ending.SERVED),
          row(Fault.READER_DISCONNECT, Moment.TOOL_RESULT, Ending.SERVED, Ending.SERVED),
          row(Fault.CLIENT_RECONNECT, Moment.READ, Ending.SERVED, Ending.SERVED),
          row(Fault.CLIENT_RECONNECT, Moment.TEXT, Ending.SERVED, Ending.SERVED),
          row(Fault.CLIENT_RECONNECT, Moment.TOOL_RESULT, Ending.SERVED, Ending.SERVED),
          row(Fault.CLIENT_RECONNECT, Moment.AFTER_RESULT, Ending.SERVED, Ending.SERVED),
          row(Fault.CLIENT_CANCEL, Moment.READ, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_CANCEL, Moment.TEXT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_CANCEL, Moment.TOOL_RESULT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_CANCEL, Moment.AFTER_RESULT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_DISCONNECT, Moment.READ, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_DISCONNECT, Moment.TEXT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_DISCONNECT, Moment.TOOL_RESULT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.CLIENT_DISCONNECT, Moment.AFTER_RESULT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.SESSION_DELETE, Moment.READ, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.SESSION_DELETE, Moment.TEXT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.SESSION_DELETE, Moment.TOOL_RESULT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          row(Fault.SESSION_DELETE, Moment.AFTER_RESULT, Ending.NO_RESPONSE, Ending.NO_RESPONSE),
          toolResultRow(Fault.DUPLICATE_RESULT, TOOL_TEXT),
          toolResultRow(Fault.MISSING_RESULT, "the tool gave no result in time"),
          toolResultRow(Fault.LATE_RESULT, "the tool gave no result in time"),
          toolResultRow(
              Fault.OVERSIZED_RESULT,
              "the tool's result was larger than " + MAX_TOOL_RESULT_BYTES + " characters"),
          toolResultRow(Fault.MALFORMED_RESULT, ""),
          toolResultRow(Fault.ERROR_RESPONSE, "error -32001: not I"),
          toolResultRow(Fault.TOOL_FAILURE, "broken"));

  @BeforeAll
  static void start() {
    for (String repeat : List.of("safe", "once", "keyed")) {
      IDLE_FIXTURES.put(repeat, new LinkedBlockingQueue<>());
      for (int i = 0; i < (repeat.equals("keyed") ? 1 : FLEETS_PER_REPEAT_MODE); i++) {
        ALL_FIXTURES.add(fixture(repeat));
        IDLE_FIXTURES.get(repeat).add(ALL_FIXTURES.get(ALL_FIXTURES.size() - 1));
      }
    }
  }

  private static ScenarioFixture fixture(String repeat) {
    List<EngineSettings> engines = new ArrayList<>();
    IntStream.rangeClosed(1, READERS)
        .forEach(i -> engines.add(slowDecoding(ScenarioFixture.reader("r" + i))));
    IntStream.rangeClosed(1, WRITERS)
        .forEach(i -> engines.add(slowDecoding(ScenarioFixture.writer("w" + i))));
    return new ScenarioFixture(
        settings -> {
          ObjectNode requestClass = (ObjectNode) settings.at("/classes/0");
          requestClass
              .put("repeat", repeat)
              .put("deadlineMs", 20_000)
              .put("aimMs", 10_000)
              .put("toolTimeoutMs", 800)
              .put("maxToolResultBytes", MAX_TOOL_RESULT_BYTES);
          if (repeat.equals("keyed")) {
            requestClass.put("repeatWindowMs", 5_000);
          }
          ((ObjectNode) settings.get("engines")).put("streamSilenceMs", 800);
          ((ObjectNode) settings.get("front")).put("resumeWindowMs", 1_500);
        },
        engines.toArray(EngineSettings[]::new));
  }

  /** Slows decoding so that a client can act between two tokens; no expectation depends on it. */
  private static EngineSettings slowDecoding(EngineSettings engine) {
    return engine.withLatencies(engine.readMs(), engine.firstMs(), 10);
  }

  @AfterAll
  static void stop() {
    ALL_FIXTURES.forEach(ScenarioFixture::close);
  }

  static Stream<Arguments> singleRows() {
    return Stream.of("safe", "once", "keyed")
        .flatMap(repeat -> ROWS.stream().map(row -> Arguments.of(repeat, List.of(row))));
  }

  /**
   * All pairs of rows that can occur in one answer: the second at a later moment than the first, or
   * at the same moment if the first is a client that reconnects.
   */
  static Stream<Arguments> rowPairs() {
    List<Arguments> pairs = new ArrayList<>();
    for (String repeat : List.of("safe", "once")) {
      for (Row first : ROWS) {
        for (Row second : ROWS) {
          boolean continuesAfterFirst =
              (repeat.equals("safe") ? first.safe() : first.unsafe()) == Ending.SERVED;
          boolean isLater = first.moment().compareTo(second.moment()) < 0;
          boolean isReconnectAtSameMoment =
              first.moment() == second.moment()
                  && first.fault() == Fault.CLIENT_RECONNECT
                  && second.fault() != Fault.CLIENT_RECONNECT;
          boolean hasOneToolFault =
              first.moment() != Moment.TOOL_RESULT
                  || second.moment() != Moment.TOOL_RESULT
                  || first.fault() == Fault.CLIENT_RECONNECT;
          if (continuesAfterFirst && (isLater || isReconnectAtSameMoment) && hasOneToolFault) {
            pairs.add(Arguments.of(repeat, List.of(first, second)));
          }
        }
      }
    }
    // Unshuffled, consecutive rows would break one reader after the other, and the gateway would
    // rightly eject them all.
    Collections.shuffle(pairs, new Random(12));
    return pairs.stream();
  }

  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest(name = "{0}: {1}")
  @MethodSource("singleRows")
  void answerWithOneFaultEndsAsListed(String repeat, List<Row> rows) throws Exception {
    check(repeat, rows);
  }

  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest(name = "{0}: {1}")
  @MethodSource("rowPairs")
  void answerWithTwoFaultsEndsAsListed(String repeat, List<Row> rows) throws Exception {
    check(repeat, rows);
  }

  private static void check(String repeat, List<Row> rows) throws Exception {
    ScenarioFixture fixture = IDLE_FIXTURES.get(repeat).take();
    try {
      check(fixture, repeat, rows);
    } finally {
      IDLE_FIXTURES.get(repeat).add(fixture);
    }
  }

  private static void check(ScenarioFixture fixture, String repeat, List<Row> rows)
      throws Exception {
    FaultyCall call = new FaultyCall(fixture, rows, "row" + RUN_COUNT.incrementAndGet());
    CallRecord record = call.execute();
    Ending expected = Ending.SERVED;
    String toolText = TOOL_TEXT;
    for (Row row : rows) {
      Ending ending = repeat.equals("safe") ? row.safe() : row.unsafe();
      expected = expected == Ending.SERVED ? ending : expected;
      toolText =
          row.moment() == Moment.TOOL_RESULT && !row.toolText().equals(TOOL_TEXT)
              ? row.toolText()
              : toolText;
    }
    String expectedText = TEXT_BEFORE_CALL + "[" + toolText + "]" + TEXT_AFTER_RESULT;
    String streamed = record.streamed.toString();
    assertTrue(
        expectedText.startsWith(streamed),
        "streamed '" + streamed + "', expected a prefix of '" + expectedText + "'");
    assertEquals(
        expected,
        record.responses == 0
            ? Ending.NO_RESPONSE
            : record.served() ? Ending.SERVED : Ending.FAILED,
        "error code " + record.errorCode);
    if (expected == Ending.SERVED) {
      assertEquals(expectedText, streamed);
      assertEquals(expectedText, record.finalText);
      assertEquals(List.of("stock{\"turn\":0,\"number\":0}"), record.toolCalls);
    } else if (expected == Ending.FAILED) {
      assertFalse(
          record.retryable && !repeat.equals("safe"),
          "a call that may have run is marked retryable");
    }
    assertTrue(
        new HashSet<>(record.toolCalls).size() == record.toolCalls.size(),
        "tool call relayed twice: " + record.toolCalls);
    for (int i = 1; i < call.eventNumbers.size(); i++) {
      assertTrue(
          call.eventNumbers.get(i) > call.eventNumbers.get(i - 1),
          "events out of order: " + call.eventNumbers);
    }
    if (!repeat.equals("safe")) {
      assertTrue(
          fixture.events(TrafficEvent.Kind.DECODE_STARTED, call.mark).stream()
                  .map(TrafficEvent::value)
                  .distinct()
                  .count()
              == fixture.events(TrafficEvent.Kind.DECODE_STARTED, call.mark).size(),
          "a part of the answer was decoded twice");
    }
    fixture.awaitIdle();
    assertRulesKept(fixture, record);
  }

  /** Audits the traffic on the engines' sockets and on this client's socket. */
  private static void assertRulesKept(ScenarioFixture fixture, CallRecord record) {
    ScenarioRecording recording =
        new ScenarioRecording(
            fixture.settings,
            fixture.fleet.engineSettings(),
            fixture.fleet.events().stream()
                .filter(e -> e.mark().isEmpty() || e.mark().equals(record.mark))
                .toList(),
            List.of(record),
            List.of(),
            List.of(),
            fixture.clients.loop().now());
    AuditResult audit = ScenarioAuditor.check(recording);
    assertTrue(audit.allRulesKept(), audit.violations().toString());
  }

  /** One call with the faults of its rows; run by the thread of the test. */
  private static final class FaultyCall {
    private final ScenarioFixture fixture;
    private final List<Row> rows;
    private final String mark;
    private final CallRecord record;
    private final ConversationClient client;
    private List<Long> eventNumbers = List.of();
    private boolean isDisconnected;

    FaultyCall(ScenarioFixture fixture, List<Row> rows, String mark)
        throws IOException, InterruptedException {
      this.fixture = fixture;
      this.rows = rows;
      this.mark = mark;
      this.client = new ConversationClient(fixture.port);
      this.record =
          new CallRecord(mark, ScenarioFixture.GATEWAY, 0, 0, false, fixture.clients.loop().now());
    }

    private boolean has(Fault fault, Moment moment) {
      return rows.stream().anyMatch(row -> row.fault() == fault && row.moment() == moment);
    }

    /**
     * Sets a fault at all engines whose names begin with {@code namePrefix}; it hits one request,
     * at whichever engine that request arrives.
     */
    private void setFaults(String namePrefix, Consumer<EngineFaults> change) {
      fixture
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                EngineFaults.Hits singleHit = new EngineFaults.Hits(1);
                for (int i = 1; i <= (namePrefix.equals("r") ? READERS : WRITERS); i++) {
                  EngineFaults faults = fixture.fleet.engine(namePrefix + i).faults();
                  faults.hits = singleHit;
                  change.accept(faults);
                }
              });
    }

    private void clearFaults() {
      setFaults(
          "w",
          faults -> {
            faults.breakAfterTokens = -1;
            faults.stallAfterTokens = -1;
          });
      setFaults("r", f -> f.rawResponse = null);
    }

    private void setWriterFaults(Moment moment, int afterTokens) {
      if (has(Fault.WRITER_DISCONNECT, moment)) {
        setFaults("w", f -> f.breakAfterTokens = afterTokens);
      } else if (has(Fault.WRITER_STALL, moment)) {
        setFaults("w", f -> f.stallAfterTokens = afterTokens);
      }
    }

    private void setReaderFaults(Moment moment) {
      if (has(Fault.READER_DISCONNECT, moment)) {
        setFaults("r", f -> f.rawResponse = new byte[0]);
      }
    }

    CallRecord execute() throws Exception {
      setWriterFaults(Moment.TEXT, 2);
      setWriterFaults(Moment.TOOL_CALL, 4);
      setReaderFaults(Moment.READ);
      try (ConversationClient.Answer answer =
          client.call("7", "sale-lookup", "#" + mark + "# " + PROMPT, List.of("stock"))) {
        eventNumbers = answer.eventNumbers;
        answer.readFirstEventId();
        applyClientFaults(answer, Moment.READ);
        int tokens = 0;
        boolean isRelayed = false;
        for (JsonNode message = isDisconnected ? null : answer.next();
            message != null;
            message = isDisconnected ? null : answer.next()) {
          record.firstMessageAtMicros =
              record.firstMessageAtMicros == 0
                  ? fixture.clients.loop().now()
                  : record.firstMessageAtMicros;
          if (record.responses > 0) {
            record.messagesAfterAnswer++;
          }
          if (message.path("method").asText().equals(Mcp.PROGRESS)) {
            record.streamed.append(message.at("/params/message").asText());
            tokens++;
            if (tokens == 2) {
              applyClientFaults(answer, isRelayed ? Moment.AFTER_RESULT : Moment.TEXT);
            }
          } else if (message.path("method").asText().equals(Mcp.TOOLS_CALL)) {
            record.toolCalls.add(
                message.at("/params/name").asText() + message.at("/params/arguments"));
            isRelayed = true;
            tokens = 0;
            clearFaults();
            setWriterFaults(Moment.AFTER_RESULT, 2);
            setReaderFaults(Moment.TOOL_RESULT);
            applyClientFaults(answer, Moment.TOOL_RESULT);
            postToolResult(message.get("id"));
          } else if (message.has("result") || message.has("error")) {
            recordResponse(message);
          }
        }
      } finally {
        clearFaults();
      }
      return record;
    }

    /** Applies the faults of this moment that come from the client. */
    private void applyClientFaults(ConversationClient.Answer answer, Moment moment)
        throws IOException, InterruptedException {
      if (has(Fault.CLIENT_RECONNECT, moment)) {
        answer.resume();
      }
      if (has(Fault.CLIENT_CANCEL, moment)) {
        record.cancelledAtMicros = fixture.clients.loop().now();
        client.post(
            "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":7}}");
      } else if (has(Fault.CLIENT_DISCONNECT, moment)) {
        record.cancelledAtMicros = fixture.clients.loop().now();
        answer.close();
        isDisconnected = true;
      } else if (has(Fault.SESSION_DELETE, moment)) {
        record.cancelledAtMicros = fixture.clients.loop().now();
        client.deleteSession();
      }
    }

    private void postToolResult(JsonNode id) throws IOException, InterruptedException {
      if (has(Fault.MISSING_RESULT, Moment.TOOL_RESULT)
          || record.cancelledAtMicros != 0 && !has(Fault.CLIENT_CANCEL, Moment.TOOL_RESULT)) {
        return;
      } // a cancelled call still posts its tool result, which must have no effect
      String text =
          has(Fault.OVERSIZED_RESULT, Moment.TOOL_RESULT)
              ? "x".repeat(MAX_TOOL_RESULT_BYTES + 1)
              : has(Fault.TOOL_FAILURE, Moment.TOOL_RESULT) ? "broken" : TOOL_TEXT;
      String result =
          "{\"jsonrpc\":\"2.0\",\"id\":"
              + id
              + ",\"result\":{\"content\":[{\"type\":\"text\",\"text\":\""
              + text
              + "\"}],\"isError\":"
              + has(Fault.TOOL_FAILURE, Moment.TOOL_RESULT)
              + "}}";
      if (has(Fault.ERROR_RESPONSE, Moment.TOOL_RESULT)) {
        result =
            "{\"jsonrpc\":\"2.0\",\"id\":"
                + id
                + ",\"error\":{\"code\":-32001,\"message\":\"not I\"}}";
      } else if (has(Fault.MALFORMED_RESULT, Moment.TOOL_RESULT)) {
        result = "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":7}";
      }
      if (has(Fault.LATE_RESULT, Moment.TOOL_RESULT)) {
        // Once the next decode starts, the tool timeout has expired.
        ScenarioFixture.await(
            "the next decode starts after the tool timeout",
            () ->
                fixture.events(TrafficEvent.Kind.DECODE_STARTED, mark).stream()
                    .anyMatch(e -> e.value() > 2));
      }
      client.post(result);
      if (has(Fault.DUPLICATE_RESULT, Moment.TOOL_RESULT)) {
        client.post(result);
      }
    }

    private void recordResponse(JsonNode message) {
      assertNotNull(message.get("id"));
      record.responses++;
      record.answeredAtMicros = fixture.clients.loop().now();
      if (message.has("error")) {
        record.errorCode = message.at("/error/code").asInt();
        record.retryable = message.at("/error/data/retryable").asBoolean(false);
      } else {
        record.finalText = message.at("/result/content/0/text").asText();
      }
    }
  }
}
