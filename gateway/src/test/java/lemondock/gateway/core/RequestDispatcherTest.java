package lemondock.gateway.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.dispatch.DispatchedRequest;
import lemondock.dispatch.DispatcherEnvironment;
import lemondock.dispatch.DispatcherOptions;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EndpointRegistry;
import lemondock.dispatch.RequestDispatcher;
import lemondock.dispatch.RequestListener;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.engine.EngineClient;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;
import lemondock.net.testing.ScriptedConnection;
import lemondock.net.testing.ScriptedNetwork;
import lemondock.net.time.ManualLoop;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptResult;
import lemondock.policy.EndpointListKind;
import lemondock.policy.RequestRouter;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterSettings;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the dispatcher's contract with the router, on a clock and a network that the test controls.
 */
class RequestDispatcherTest {
  /** A connection to an engine; the test reads what was written and sends the replies. */
  private final class EngineConnection extends ScriptedConnection {
    private final InetSocketAddress address;
    private final StringBuilder written = new StringBuilder();

    EngineConnection(InetSocketAddress address, Handler handler) {
      super(loop, address, handler);
      this.address = address;
    }

    void reply(String text) {
      receive(text);
      loop.runTasks();
    }

    void breakConnection() {
      end(new IOException("connection broken by the test"));
      loop.runTasks();
    }

    @Override
    public void write(ByteBuffer bytes) {
      written.append(StandardCharsets.UTF_8.decode(bytes));
    }

    @Override
    public long flushedBytes() {
      return written.length();
    }
  }

  private final ManualLoop loop = new ManualLoop(1_000_000);
  private final ScriptedNetwork<EngineConnection> network =
      new ScriptedNetwork<>(loop, EngineConnection::new);
  private final List<EngineConnection> connections = network.connections();
  private final List<String> routerEvents = new ArrayList<>();
  private final List<String> listenerEvents = new ArrayList<>();
  private RouterHost host;
  private RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher;
  private long reader;
  private long writer;
  private boolean routerThrows;

  private final StallMonitor stallMonitor = new StallMonitor(100_000, 300_000, 50_000);
  private long lastElapsedMicros;

  /** A router that makes no decisions and records its events. */
  private final class RecordingRouter implements RequestRouter {
    @Override
    public void started(long nowMicros) {}

    @Override
    public void endpointsChanged(
        long nowMicros, EndpointListKind kind, List<ServerEntry> servers) {}

    @Override
    public void requestArrived(long nowMicros, RoutingRequest request) {
      routerEvents.add("request " + request.id());
      if (routerThrows) {
        throw new IllegalStateException("router failure injected by the test");
      }
    }

    @Override
    public void firstToken(
        long nowMicros, long requestId, int attempt, long serverId, long elapsedMicros) {
      routerEvents.add("first " + attempt);
    }

    @Override
    public void attemptEnded(long nowMicros, AttemptResult result) {
      lastElapsedMicros = result.elapsedMicros();
      routerEvents.add(
          result.outcome()
              + " "
              + result.attempt()
              + (result.requestEnded() ? " ended" : "")
              + (result.stateMissing() ? " missing" : ""));
    }

    @Override
    public void clientDisconnected(long nowMicros, long requestId) {
      routerEvents.add("disconnected");
    }

    @Override
    public void timerFired(long nowMicros, long token) {
      routerEvents.add("timer " + token);
    }
  }

  @BeforeEach
  void createDispatcher() {
    EndpointRegistry endpoints = new EndpointRegistry(List.of("reader", "writer"));
    List<ServerEntry> servers =
        endpoints
            .update(
                List.of(
                    new Endpoint(
                        "r",
                        new InetSocketAddress("127.0.0.1", 1),
                        "reader",
                        "z",
                        "k",
                        ServerLifecycle.READY,
                        1,
                        0),
                    new Endpoint(
                        "w",
                        new InetSocketAddress("127.0.0.1", 2),
                        "writer",
                        "z",
                        "k",
                        ServerLifecycle.READY,
                        1,
                        0)),
                false,
                0,
                0)
            .servers();
    reader = servers.get(0).id();
    writer = servers.get(1).id();
    HttpClient client =
        new HttpClient(
            loop, network, new HttpClientOptions(HttpLimits.DEFAULT, 10_000, 10, 1_000, 1 << 30));
    EngineClient engines =
        new EngineClient(
            loop,
            client,
            new GatewaySettings.Engines("m", 250, 1000, 100, 10, 1000, 1000, null),
            "test",
            stallMonitor);
    RouterSettings settings =
        new RouterSettings(
            0,
            1,
            0,
            0,
            List.of(),
            List.of(),
            List.of(new ServerKind(ServerRole.READER, 0), new ServerKind(ServerRole.WRITER, 0)),
            null,
            null,
            true,
            false);
    dispatcher =
        new RequestDispatcher<>(
            new DispatcherEnvironment<>(
                loop,
                engines,
                endpoints,
                stallMonitor,
                new GatewayMetrics(minimalSettings()).attempts()),
            new DispatcherOptions(
                "t",
                (routerSettings, seed, routerHost) -> {
                  host = routerHost;
                  return new RecordingRouter();
                },
                settings,
                1,
                () -> {}));
  }

  private static GatewaySettings minimalSettings() {
    try {
      return SettingsFile.readGateway(
          "t",
          new ObjectMapper()
              .readTree(
                  """
                  {"name": "t", "front": {"listen": "127.0.0.1:1"}, "discovery": {"kind": "file", "path": "x"},
                   "classes": [{"name": "c", "aimMs": 100, "deadlineMs": 1000}],
                   "kinds": [{"name": "m", "role": "mixed"}]}\
                  """));
    } catch (SettingsException | JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private long submit() {
    return dispatcher.submit(
        DispatchedRequest.builder(JsonNodeFactory.instance.objectNode())
            .sessionKey(1)
            .promptTokens(10)
            .maxAnswerTokens(50)
            .firstTokenTimeoutMicros(1_000_000)
            .build(),
        new RequestListener<>() {
          @Override
          public void chunk(CompletionChunk chunk) {
            listenerEvents.add("'" + chunk.text() + "'");
          }

          @Override
          public void completed() {
            listenerEvents.add("completed");
          }

          @Override
          public void interrupted(String cause) {
            listenerEvents.add("interrupted");
          }

          @Override
          public void rejected(long retryAfterMicros) {
            listenerEvents.add("rejected");
          }

          @Override
          public void failed() {
            listenerEvents.add("failed");
          }
        });
  }

  private EngineConnection send(long id, long server) {
    host.send(id, server, 0, RouterHost.NO_SEND_LIMIT);
    loop.runTasks();
    return connections.get(connections.size() - 1);
  }

  private static String ok(String body) {
    return "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static final String PREFILL_REPLY = ok("{\"kv_transfer_params\":{\"x\":1}}");
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\n"
          + "content-type: text/event-stream\r\n"
          + "transfer-encoding: chunked\r\n\r\n";

  private static String event(String data) {
    String text = "data: " + data + "\n\n";
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String token(String text) {
    return event("{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}");
  }

  private long abortsSent() {
    return connections.stream()
        .filter(
            connection ->
                connection.written.toString().startsWith("POST /abort_request")
                    || connection.written.indexOf("POST /abort_request") > 0)
        .count();
  }

  @Test
  void aCompleteRequestRunsPrefillThenDecode() {
    long id = submit();
    send(id, reader).reply(PREFILL_REPLY);
    EngineConnection decode = send(id, writer);
    assertTrue(decode.written.toString().contains("\"kv_transfer_params\":{\"x\":1}"));
    decode.reply(STREAM_HEAD + token("a"));
    decode.reply(
        event("{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}")
            + event("[DONE]")
            + "0\r\n\r\n");
    assertEquals(List.of("request " + id, "PROMPT_READ 0", "first 1", "OK 1 ended"), routerEvents);
    assertEquals(List.of("'a'", "''", "completed"), listenerEvents.stream().distinct().toList());
    assertEquals(0, dispatcher.requestsInFlight());
    assertEquals(0, abortsSent());
  }

  @Test
  void everyAttemptHasOneOutcomeIfACancelAndAReplyRace() {
    long id = submit();
    EngineConnection prefill = send(id, reader);
    host.cancel(id, 0);
    host.cancel(id, 0);
    prefill.reply(PREFILL_REPLY); // the reply was already on its way
    prefill.breakConnection();
    loop.runTasks();
    assertEquals(List.of("request " + id, "CANCELLED 0"), routerEvents);
    assertEquals(1, abortsSent()); // releases the state that the prefill may have reserved
    EngineConnection second = send(id, reader);
    second.reply(PREFILL_REPLY);
    host.cancel(id, 1);
    loop.runTasks();
    assertEquals("PROMPT_READ 1", routerEvents.get(2));
    assertEquals(3, routerEvents.size());
  }

  @Test
  void unsentAttemptsAreReportedAsNotSent() {
    long id = submit();
    host.send(id, 999, 0, RouterHost.NO_SEND_LIMIT);
    host.send(id, writer, 0, RouterHost.NO_SEND_LIMIT);
    loop.runTasks();
    assertEquals(
        List.of("request " + id, "ABANDONED_BEFORE_SEND 0", "REJECTED 1 missing"), routerEvents);
    assertEquals(0, connections.size());
    host.fail(id);
    loop.runTasks();
    assertEquals(1, routerEvents.stream().filter(event -> event.startsWith("request")).count());
  }

  @Test
  void brokenConnectionsAreResetsUnlessNothingWasSent() {
    long id = submit();
    send(id, reader).breakConnection();
    host.send(id, reader, 0, RouterHost.NO_SEND_LIMIT);
    connections.get(connections.size() - 1).end(new IOException("refused"));
    loop.dropNextTask(); // the task that would report the connection as established
    loop.runTasks();
    assertEquals(List.of("request " + id, "RESET 0", "CONNECT_FAILED 1"), routerEvents);
  }

  @Test
  void aStallIsNotCountedAndArrivedDataIsReadBeforeTimersFire() {
    stallMonitor.onTick(loop.now());
    long id = submit();
    final EngineConnection prefill = send(id, reader);
    host.setTimer(7, 200_000); // lets the router check whether the prefill is overdue
    loop.advance(50_000);
    loop.pauseFor(3_000_000);
    assertEquals(
        List.of("request " + id), routerEvents, "no timer may fire before the sockets were read");
    prefill.reply(PREFILL_REPLY);
    loop.advance(60_000);
    assertEquals(List.of("request " + id, "PROMPT_READ 0", "timer 7"), routerEvents);
    assertTrue(
        lastElapsedMicros >= 50_000 && lastElapsedMicros <= 160_000,
        "took " + lastElapsedMicros + " us, though the 3 s stall of the process must not count");
  }

  @Test
  void anInterruptedStreamEndsItsRequestOnce() {
    long id = submit();
    send(id, reader).reply(PREFILL_REPLY);
    EngineConnection decode = send(id, writer);
    decode.reply(STREAM_HEAD + token("a"));
    decode.breakConnection();
    host.fail(id);
    loop.runTasks();
    assertEquals("RESET 1 ended", routerEvents.get(routerEvents.size() - 1));
    assertEquals(List.of("'a'", "interrupted"), listenerEvents);
    assertEquals(0, dispatcher.requestsInFlight());
  }

  @Test
  void anIdleStreamIsInterrupted() {
    long id = submit();
    send(id, reader).reply(PREFILL_REPLY);
    EngineConnection decode = send(id, writer);
    decode.reply(STREAM_HEAD + token("a"));
    loop.advance(60_000);
    decode.reply(token("b"));
    loop.advance(90_000);
    assertEquals(List.of("'a'", "'b'"), listenerEvents);
    loop.advance(20_000);
    assertEquals(List.of("'a'", "'b'", "interrupted"), listenerEvents);
    assertTrue(decode.isClosed());
  }

  @Test
  void aCancelledRequestGetsNoEventsAndReservesNoState() {
    long id = submit();
    send(id, reader).reply(PREFILL_REPLY);
    dispatcher.cancelRequest(id);
    host.releaseState(id);
    loop.runTasks();
    assertEquals(List.of(), listenerEvents);
    assertEquals(0, dispatcher.requestsInFlight());
    long streaming = submit();
    send(streaming, reader).reply(PREFILL_REPLY);
    EngineConnection decode = send(streaming, writer);
    decode.reply(STREAM_HEAD + token("a"));
    dispatcher.cancelRequest(streaming);
    loop.runTasks();
    assertTrue(decode.isClosed());
    assertEquals("CANCELLED 1 ended", routerEvents.get(routerEvents.size() - 1));
    assertEquals(0, dispatcher.requestsInFlight());
    assertEquals(List.of("'a'"), listenerEvents);
  }

  @Test
  void aNewStateReleasesTheOldOne() {
    long id = submit();
    send(id, reader).reply(PREFILL_REPLY);
    long before = dispatcher.counts().releases();
    send(id, reader).reply(PREFILL_REPLY);
    assertEquals(before + 1, dispatcher.counts().releases());
    host.releaseState(id);
    assertEquals(before + 2, dispatcher.counts().releases());
    host.releaseState(id);
    assertEquals(before + 2, dispatcher.counts().releases());
  }

  @Test
  void nothingIsReleasedWhileAnAttemptIsInFlight() {
    long id = submit();
    send(id, reader).reply(PREFILL_REPLY);
    send(id, writer);
    host.releaseState(id);
    assertEquals(0, dispatcher.counts().releases());
  }

  @Test
  void anExceptionOfTheRouterFailsOnlyItsRequest() {
    final long before = submit();
    routerThrows = true;
    submit();
    assertEquals(List.of("failed"), listenerEvents);
    assertEquals(1, dispatcher.requestsInFlight());
    routerThrows = false;
    host.reject(before, 0);
    dispatcher.updateEndpoints(EndpointListKind.CHANGES, List.of());
    assertEquals(0, dispatcher.requestsInFlight());
  }

  @Test
  void onlyTheFirstFinalDecisionIsDelivered() {
    long id = submit();
    host.reject(id, 5);
    host.reject(id, 5);
    host.fail(id);
    dispatcher.updateEndpoints(EndpointListKind.CHANGES, List.of());
    // the notification is delivered after the next event
    assertEquals(List.of("rejected"), listenerEvents);
    assertEquals(0, dispatcher.requestsInFlight());
  }
}
