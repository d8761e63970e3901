package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpCall;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/**
 * A client of the Streamable HTTP transport that writes down what it sees. One session; loop thread
 * only. It is made for rehearsals: it can leave, stay silent to tool calls, and answer them late or
 * twice.
 */
public final class McpClient {
  private static final JsonRpc RPC = new JsonRpc(JsonRpc.Limits.DEFAULT);

  private final Loop loop;
  private final HttpClient http;
  private final InetSocketAddress address;
  private final String gateway;
  private String session;
  private boolean opening;
  private int openStatus;
  private final List<Consumer<Boolean>> waiting = new ArrayList<>();
  private int nextId = 1;

  /** Makes a client of a gateway. */
  public McpClient(Loop loop, HttpClient http, InetSocketAddress address, String gateway) {
    this.loop = loop;
    this.http = http;
    this.address = address;
    this.gateway = gateway;
  }

  /** Opens the session if there is none; tells whether there is one. */
  public void open(Consumer<Boolean> then) {
    if (session != null) {
      then.accept(true);
      return;
    }
    waiting.add(then);
    if (opening) {
      return;
    }
    opening = true;
    openStatus = 0;
    ObjectNode params = JsonNodeFactory.instance.objectNode().put("protocolVersion", "2025-06-18");
    params.putObject("capabilities");
    params.putObject("clientInfo").put("name", "rehearsal").put("version", "1");
    post(
        JsonRpc.request(JsonNodeFactory.instance.numberNode(0), Mcp.INITIALIZE, params),
        new ResponseReceiver() {
          private String id;

          @Override
          public void onHead(HttpEvent.ResponseHead head) {
            openStatus = head.status();
            id =
                head.status() == 200
                    ? head.headers().firstValue(Mcp.SESSION_HEADER).orElse(null)
                    : null;
          }

          @Override
          public void onComplete() {
            opened(id);
          }

          @Override
          public void onFailure(RequestFailure failure, String what) {
            opened(null);
          }
        });
  }

  private void opened(String id) {
    session = id;
    opening = false;
    if (id != null) {
      post(JsonRpc.notification(Mcp.INITIALIZED, null), new Quiet());
    }
    List<Consumer<Boolean>> then = List.copyOf(waiting);
    waiting.clear();
    then.forEach(t -> t.accept(id != null));
  }

  /** The status of the last answer to an attempt to open a session, 0 if there was none. */
  public int openStatus() {
    return openStatus;
  }

  /** Forgets the session, as after a 404. */
  public void reset() {
    session = null;
  }

  private HttpCall post(JsonNode message, ResponseReceiver receiver) {
    Headers headers =
        Headers.of(
            "host",
            "127.0.0.1:" + address.getPort(),
            "content-type",
            "application/json",
            "accept",
            "application/json, text/event-stream");
    if (session != null) {
      headers.add(Mcp.SESSION_HEADER, session).add(Mcp.VERSION_HEADER, "2025-06-18");
    }
    return http.send(
        address,
        HttpEncoder.request(
            "POST", "/mcp", headers, message.toString().getBytes(StandardCharsets.UTF_8)),
        receiver);
  }

  private static class Quiet implements ResponseReceiver {
    @Override
    public void onComplete() {}

    @Override
    public void onFailure(RequestFailure failure, String what) {}
  }

  /**
   * Calls a tool; the session must be open. {@code then} hears of the end, whatever it is but
   * leaving.
   */
  public Call call(ToolCallRequest request, Consumer<Call> then) {
    return new Call(request, then);
  }

  /** One call under way. */
  public final class Call implements ResponseReceiver {
    private final ToolCallRequest request;
    private final int id = nextId++;
    private final Consumer<Call> then;
    private final CallRecord seen;
    private final HttpCall http;
    private boolean told;

    private Call(ToolCallRequest request, Consumer<Call> then) {
      this.request = request;
      this.then = then;
      ObjectNode params = JsonNodeFactory.instance.objectNode().put("name", request.tool());
      ObjectNode arguments = params.putObject("arguments");
      arguments.set("messages", request.messages());
      arguments.put("max_tokens", request.maxTokens());
      if (request.conversation() != null) {
        arguments.put("conversation", request.conversation());
      }
      ArrayNode tools = arguments.putArray("tools");
      request
          .tools()
          .forEach(
              t -> tools.addObject().put("name", t).putObject("inputSchema").put("type", "object"));
      ObjectNode meta = params.putObject("_meta").put("progressToken", id);
      if (request.retry()) {
        meta.put("lemondock/retry", true);
      }
      if (request.idempotencyKey() != null) {
        meta.put("lemondock/key", request.idempotencyKey());
      }
      if (request.tenant() != null) {
        meta.put("lemondock/tenant", request.tenant());
      }
      int chars = 0;
      for (JsonNode m : request.messages()) {
        chars += m.path("content").asText().length();
      }
      this.seen =
          new CallRecord(
              request.mark(), gateway, request.classId(), chars, request.retry(), loop.now());
      this.http =
          post(
              JsonRpc.request(JsonNodeFactory.instance.numberNode(id), Mcp.TOOLS_CALL, params),
              this);
    }

    /** What was seen. */
    public CallRecord seen() {
      return seen;
    }

    /** What was asked. */
    public ToolCallRequest request() {
      return request;
    }

    /** Gives up: says so, and closes the connection. */
    public void leave() {
      if (seen.answeredAtMicros == 0 && seen.connectionLostAtMicros == 0) {
        seen.cancelledAtMicros = loop.now();
        post(
            JsonRpc.notification(
                Mcp.CANCELLED,
                JsonNodeFactory.instance
                    .objectNode()
                    .put("requestId", id)
                    .put("reason", "gave up")),
            new Quiet());
        http.cancel();
      }
    }

    @Override
    public void onHead(HttpEvent.ResponseHead head) {
      if (head.status() == 404) {
        seen.notAccepted = true;
        reset();
      } else if (head.status() == 503) {
        seen.notAccepted = true; // at its limit
      } else if (head.status() != 200) {
        seen.protocolViolations.add("status " + head.status());
      }
    }

    @Override
    public void onBody(byte[] bytes) {
      if (seen.notAccepted) {
        return;
      }
      take(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onEvent(Object mapped) {
      SseEvent event = (SseEvent) mapped;
      if (!event.data().isEmpty()) {
        take(event.data());
      }
    }

    private void take(String json) {
      JsonRpcMessage message = RPC.parse(json.getBytes(StandardCharsets.UTF_8)).messages().get(0);
      if (seen.answeredAtMicros != 0) {
        seen.messagesAfterAnswer++;
      } else if (message instanceof JsonRpcMessage.Notification n
          && n.method().equals(Mcp.PROGRESS)) {
        progress(n.params());
      } else if (message instanceof JsonRpcMessage.Request r && r.method().equals(Mcp.TOOLS_CALL)) {
        tool(r);
      } else if (message instanceof JsonRpcMessage.Response r && r.id().asInt(-1) == id) {
        response(r);
      } else if (!(message instanceof JsonRpcMessage.Notification)) {
        seen.protocolViolations.add("unexpected message " + json);
      }
    }

    private void progress(JsonNode params) {
      seen.firstMessageAtMicros =
          seen.firstMessageAtMicros == 0 ? loop.now() : seen.firstMessageAtMicros;
      int count = params.path("progress").asInt();
      if (count <= seen.tokens) {
        seen.protocolViolations.add("progress went from " + seen.tokens + " to " + count);
      }
      seen.tokens = count;
      seen.streamed.append(params.path("message").asText());
    }

    private void tool(JsonRpcMessage.Request toolCall) {
      seen.firstMessageAtMicros =
          seen.firstMessageAtMicros == 0 ? loop.now() : seen.firstMessageAtMicros;
      seen.toolCalls.add(
          toolCall.params().path("name").asText() + toolCall.params().path("arguments"));
      ObjectNode answer;
      if (request.toolBehaviour() == ToolBehaviour.ERROR) {
        answer = JsonRpc.error(toolCall.id(), -32000, "the tool failed", null);
      } else {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        result
            .putArray("content")
            .addObject()
            .put("type", "text")
            .put("text", "did-" + toolCall.params().path("name").asText());
        answer = JsonRpc.result(toolCall.id(), result);
      }
      if (request.toolBehaviour() != ToolBehaviour.SILENT) {
        loop.schedule(
            request.toolDelayMicros(),
            () -> {
              post(answer, new Quiet());
              if (request.toolBehaviour() == ToolBehaviour.TWICE) {
                post(answer, new Quiet());
              }
            });
      }
    }

    private void response(JsonRpcMessage.Response response) {
      seen.responses++;
      seen.answeredAtMicros = loop.now();
      if (response.error() != null) {
        seen.errorCode = response.error().path("code").asInt();
        seen.retryable = response.error().path("data").path("retryable").asBoolean(false);
        seen.earlierAttemptOutcome = response.error().path("data").path("became").asText(null);
        seen.retryAfterMs = response.error().path("data").path("retryAfterMs").asLong(0);
      } else {
        seen.finalText = response.result().path("content").path(0).path("text").asText();
      }
    }

    @Override
    public void onComplete() {
      over();
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      if (seen.answeredAtMicros == 0) {
        seen.connectionLostAtMicros = loop.now();
        seen.notAccepted |=
            failure == RequestFailure.NOT_SENT || failure == RequestFailure.LOCAL_LIMIT_REACHED;
      }
      reset();
      over();
    }

    private void over() {
      if (seen.answeredAtMicros == 0 && seen.connectionLostAtMicros == 0) {
        seen.connectionLostAtMicros = loop.now(); // the stream ended without a response
      }
      if (!told) {
        told = true;
        then.accept(this);
      }
    }
  }
}
