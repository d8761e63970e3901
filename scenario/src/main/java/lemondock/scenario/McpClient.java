package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpCall;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.Mcp;

/**
 * A client of MCP's Streamable HTTP transport for scenarios and tests. It records what it receives,
 * can abandon calls, and can leave tool calls unanswered or answer them twice. It has one session
 * at a time. Loop thread only.
 */
public final class McpClient {
  private static final String PROTOCOL_VERSION = "2025-06-18";

  private final Loop loop;
  private final HttpClient http;
  private final InetSocketAddress address;
  private final String gateway;
  private final List<Consumer<Boolean>> awaitingSession = new ArrayList<>();
  private Optional<String> sessionId = Optional.empty();
  private boolean opening;
  private int openStatus;
  private int nextRequestId = 1;

  /**
   * Creates a client without a session.
   *
   * @param gateway name of the gateway, for the call records
   */
  public McpClient(Loop loop, HttpClient http, InetSocketAddress address, String gateway) {
    this.loop = loop;
    this.http = http;
    this.address = address;
    this.gateway = gateway;
  }

  /** Opens a session if none is open; {@code onResult} receives whether one is open afterwards. */
  public void open(Consumer<Boolean> onResult) {
    if (sessionId.isPresent()) {
      onResult.accept(true);
      return;
    }
    awaitingSession.add(onResult);
    if (!opening) {
      opening = true;
      openStatus = 0;
      initialize();
    }
  }

  private void initialize() {
    ObjectNode params =
        JsonNodeFactory.instance.objectNode().put("protocolVersion", PROTOCOL_VERSION);
    params.putObject("capabilities");
    params.putObject("clientInfo").put("name", "rehearsal").put("version", "1");
    post(
        JsonRpc.request(JsonNodeFactory.instance.numberNode(0), Mcp.INITIALIZE, params),
        new ResponseReceiver() {
          private Optional<String> id = Optional.empty();

          @Override
          public void onHead(HttpEvent.ResponseHead head) {
            openStatus = head.status();
            if (head.status() == 200) {
              id = head.headers().firstValue(Mcp.SESSION_HEADER);
            }
          }

          @Override
          public void onComplete() {
            onInitialized(id);
          }

          @Override
          public void onFailure(RequestFailure failure, String reason) {
            onInitialized(Optional.empty());
          }
        });
  }

  private void onInitialized(Optional<String> id) {
    sessionId = id;
    opening = false;
    if (id.isPresent()) {
      post(JsonRpc.notification(Mcp.INITIALIZED, null), new IgnoringReceiver());
    }
    List<Consumer<Boolean>> waiting = List.copyOf(awaitingSession);
    awaitingSession.clear();
    waiting.forEach(onResult -> onResult.accept(id.isPresent()));
  }

  /** HTTP status of the response to the last attempt to open a session; 0 if there was none. */
  public int openStatus() {
    return openStatus;
  }

  /** Discards the session, as a client does after a 404; the next {@link #open} begins another. */
  public void forgetSession() {
    sessionId = Optional.empty();
  }

  /**
   * Calls a tool; there must be a session.
   *
   * @param onEnd is called once when the call ends in any way, unless the client abandons it
   */
  public McpCall call(ToolCallRequest request, Consumer<McpCall> onEnd) {
    McpCall call = new McpCall(this, request, nextRequestId++, onEnd);
    call.send();
    return call;
  }

  Loop loop() {
    return loop;
  }

  String gateway() {
    return gateway;
  }

  HttpCall post(JsonNode message, ResponseReceiver receiver) {
    Headers headers =
        Headers.of(
            "host",
            "127.0.0.1:" + address.getPort(),
            "content-type",
            "application/json",
            "accept",
            "application/json, text/event-stream");
    sessionId.ifPresent(
        id -> headers.add(Mcp.SESSION_HEADER, id).add(Mcp.VERSION_HEADER, PROTOCOL_VERSION));
    byte[] body = message.toString().getBytes(StandardCharsets.UTF_8);
    return http.send(address, HttpEncoder.request("POST", "/mcp", headers, body), receiver);
  }
}
