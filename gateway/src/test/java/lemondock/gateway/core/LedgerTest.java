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

/** The ledger's contract with the module, on a clock and a network that the test moves by hand. */
class LedgerTest {
  /** One connection; what was written to it is text, and the test answers by hand. */
  private final class Line extends ScriptedConnection {
    private final InetSocketAddress to;
    private final StringBuilder written = new StringBuilder();

    Line(InetSocketAddress to, Handler handler) {
      super(loop, to, handler);
      this.to = to;
    }

    void answer(String text) {
      receive(text);
      loop.run();
    }

    void cut() {
      end(new IOException("cut"));
      loop.run();
    }

    @Override
    public void write(ByteBuffer bytes) {
      written.append(StandardCharsets.UTF_8.decode(bytes));
    }

    @Override
    public long flushed() {
      return written.length();
    }
  }

  private final ManualLoop loop = new ManualLoop(1_000_000);
  private final ScriptedNetwork<Line> network = new ScriptedNetwork<>(loop, Line::new);
  private final List<Line> lines = network.connections();
  private final List<String> told = new ArrayList<>();
  private final List<String> heard = new ArrayList<>();
  private RouterHost host;
  private RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> ledger;
  private long reader;
  private long writer;
  private boolean faulty;

  private final StallMonitor lateness = new StallMonitor(100_000, 300_000, 50_000);
  private long lastTook;

  /** A module that only writes down what it is told. */
  private final class Told implements RequestRouter {
    @Override
    public void started(long nowMicros) {}

    @Override
    public void endpointsChanged(
        long nowMicros, EndpointListKind kind, List<ServerEntry> servers) {}

    @Override
    public void requestArrived(long nowMicros, RoutingRequest request) {
      told.add("request " + request.id());
      if (faulty) {
        throw new IllegalStateException("a defect");
      }
    }

    @Override
    public void firstToken(
        long nowMicros, long requestId, int attempt, long serverId, long elapsedMicros) {
      told.add("first " + attempt);
    }

    @Override
    public void attemptEnded(long nowMicros, AttemptResult result) {
      lastTook = result.elapsedMicros();
      told.add(
          result.outcome()
              + " "
              + result.attempt()
              + (result.requestEnded() ? " ended" : "")
              + (result.stateMissing() ? " missing" : ""));
    }

    @Override
    public void clientDisconnected(long nowMicros, long requestId) {
      told.add("left");
    }

    @Override
    public void timerFired(long nowMicros, long token) {
      told.add("timer " + token);
    }
  }

  @BeforeEach
  void make() {
    EndpointRegistry members = new EndpointRegistry(List.of("reader", "writer"));
    List<ServerEntry> servers =
        members
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
            loop, network, new HttpClient.Options(HttpLimits.DEFAULT, 10_000, 10, 1_000, 1 << 30));
    EngineClient engines =
        new EngineClient(
            loop,
            client,
            new GatewaySettings.Engines("m", 250, 1000, 100, 10, 1000, 1000, null),
            "test",
            lateness);
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
    ledger =
        new RequestDispatcher<>(
            new DispatcherEnvironment<>(
                loop, engines, members, lateness, new GatewayMetrics(someSettings())),
            new DispatcherOptions(
                "t",
                (s, seed, h) -> {
                  host = h;
                  return new Told();
                },
                settings,
                1,
                () -> {}));
  }

  private static GatewaySettings someSettings() {
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

  private long open() {
    return ledger.submit(
        new DispatchedRequest<>(
            0,
            0,
            1,
            0,
            10,
            0,
            50,
            1_000_000,
            false,
            false,
            0,
            JsonNodeFactory.instance.objectNode()),
        new RequestListener<>() {
          @Override
          public void chunk(CompletionChunk chunk) {
            heard.add("'" + chunk.text() + "'");
          }

          @Override
          public void completed() {
            heard.add("served");
          }

          @Override
          public void interrupted(String cause) {
            heard.add("broke");
          }

          @Override
          public void rejected(long retryAfterMicros) {
            heard.add("refused");
          }

          @Override
          public void failed() {
            heard.add("failed");
          }
        });
  }

  private Line send(long id, long server) {
    host.send(id, server, 0);
    loop.run();
    return lines.get(lines.size() - 1);
  }

  private static String ok(String body) {
    return "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static final String READ = ok("{\"kv_transfer_params\":{\"x\":1}}");
  private static final String STREAM =
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

  private long aborts() {
    return lines.stream()
        .filter(
            l ->
                l.written.toString().startsWith("POST /abort_request")
                    || l.written.indexOf("POST /abort_request") > 0)
        .count();
  }

  @Test
  void aWholeRequest() {
    long id = open();
    send(id, reader).answer(READ);
    Line write = send(id, writer);
    assertTrue(write.written.toString().contains("\"kv_transfer_params\":{\"x\":1}"));
    write.answer(STREAM + token("a"));
    write.answer(
        event("{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}")
            + event("[DONE]")
            + "0\r\n\r\n");
    assertEquals(List.of("request " + id, "PROMPT_READ 0", "first 1", "OK 1 ended"), told);
    assertEquals(List.of("'a'", "''", "served"), heard.stream().distinct().toList());
    assertEquals(0, ledger.requestsInFlight());
    assertEquals(0, aborts());
  }

  @Test
  void eachSendGetsOneOutcomeWhoeverComesFirst() {
    long id = open();
    Line read = send(id, reader);
    host.cancel(id, 0);
    host.cancel(id, 0);
    read.answer(READ);
    // it was on its way

    read.cut();
    loop.run();
    assertEquals(List.of("request " + id, "CANCELLED 0"), told);
    assertEquals(1, aborts());
    // what the read may have left is let go

    Line second = send(id, reader);
    second.answer(READ);
    host.cancel(id, 1);
    loop.run();
    assertEquals("PROMPT_READ 1", told.get(2));
    assertEquals(3, told.size());
  }

  @Test
  void whatWasNeverSentIsSaidSo() {
    long id = open();
    host.send(id, 999, 0);
    host.send(id, writer, 0);
    loop.run();
    assertEquals(List.of("request " + id, "ABANDONED_BEFORE_SEND 0", "REJECTED 1 missing"), told);
    assertEquals(0, lines.size());
    host.fail(id);
    loop.run();
    assertEquals(1, told.stream().filter(t -> t.startsWith("request")).count());
  }

  @Test
  void brokenConnectionsAreResetsUnlessNothingWasSent() {
    long id = open();
    send(id, reader).cut();
    host.send(id, reader, 0);
    lines.get(lines.size() - 1).end(new IOException("refused"));
    loop.dropFirst();
    // the connection that never came up

    loop.run();
    assertEquals(List.of("request " + id, "RESET 0", "CONNECT_FAILED 1"), told);
  }

  @Test
  void aStallOfTheProcessIsNotTheEnginesAndWhatCameMeanwhileIsHeardFirst() {
    lateness.ticked(loop.now());
    long id = open();
    final Line read = send(id, reader);
    host.setTimer(7, 200_000);
    // the router is to check whether the prefill is overdue

    loop.move(50_000);
    loop.standStill(3_000_000);
    assertEquals(List.of("request " + id), told, "nothing is judged before the sockets were heard");
    read.answer(READ);
    loop.move(60_000);
    assertEquals(List.of("request " + id, "PROMPT_READ 0", "timer 7"), told);
    assertTrue(
        lastTook >= 50_000 && lastTook <= 160_000,
        "took " + lastTook + " us, of which the process stood still 3 s");
  }

  @Test
  void aStreamThatBreaksEndsItsRequestOnce() {
    long id = open();
    send(id, reader).answer(READ);
    Line write = send(id, writer);
    write.answer(STREAM + token("a"));
    write.cut();
    host.fail(id);
    loop.run();
    assertEquals("RESET 1 ended", told.get(told.size() - 1));
    assertEquals(List.of("'a'", "broke"), heard);
    assertEquals(0, ledger.requestsInFlight());
  }

  @Test
  void aSilentStreamIsBrokenOff() {
    long id = open();
    send(id, reader).answer(READ);
    Line write = send(id, writer);
    write.answer(STREAM + token("a"));
    loop.move(60_000);
    write.answer(token("b"));
    loop.move(90_000);
    assertEquals(List.of("'a'", "'b'"), heard);
    loop.move(20_000);
    assertEquals(List.of("'a'", "'b'", "broke"), heard);
    assertTrue(write.isClosed());
  }

  @Test
  void aClientThatLeavesHearsNothingAndHoldsNothing() {
    long id = open();
    send(id, reader).answer(READ);
    ledger.cancelRequest(id);
    host.releaseState(id);
    loop.run();
    assertEquals(List.of(), heard);
    assertEquals(0, ledger.requestsInFlight());
    long streaming = open();
    send(streaming, reader).answer(READ);
    Line write = send(streaming, writer);
    write.answer(STREAM + token("a"));
    ledger.cancelRequest(streaming);
    loop.run();
    assertTrue(write.isClosed());
    assertEquals("CANCELLED 1 ended", told.get(told.size() - 1));
    assertEquals(0, ledger.requestsInFlight());
    assertEquals(List.of("'a'"), heard);
  }

  @Test
  void aNewStateLetsTheOldOneGo() {
    long id = open();
    send(id, reader).answer(READ);
    long before = ledger.counts().releases();
    send(id, reader).answer(READ);
    assertEquals(before + 1, ledger.counts().releases());
    host.releaseState(id);
    assertEquals(before + 2, ledger.counts().releases());
    host.releaseState(id);
    assertEquals(before + 2, ledger.counts().releases());
  }

  @Test
  void nothingIsReleasedWhileAnAttemptIsOut() {
    long id = open();
    send(id, reader).answer(READ);
    send(id, writer);
    host.releaseState(id);
    assertEquals(0, ledger.counts().releases());
  }

  @Test
  void aDefectOfTheModuleFailsItsRequestAndNoOther() {
    final long before = open();
    faulty = true;
    open();
    assertEquals(List.of("failed"), heard);
    assertEquals(1, ledger.requestsInFlight());
    faulty = false;
    host.reject(before, 0);
    ledger.updateEndpoints(EndpointListKind.CHANGES, List.of());
    assertEquals(0, ledger.requestsInFlight());
  }

  @Test
  void anEndIsToldOnce() {
    long id = open();
    host.reject(id, 5);
    host.reject(id, 5);
    host.fail(id);
    ledger.updateEndpoints(EndpointListKind.CHANGES, List.of());
    // the next event carries out what was decided

    assertEquals(List.of("refused"), heard);
    assertEquals(0, ledger.requestsInFlight());
  }
}
