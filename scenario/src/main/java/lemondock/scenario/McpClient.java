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

  /** How a client treats the tool calls it is sent. */
  public enum Tools {
    ANSWER,
    ERROR,
    SILENT,
    TWICE,
    LATE
  }

  /** What a call asks for. */
  public record Ask(
      String tool,
      int classId,
      ArrayNode messages,
      String conversation,
      List<String> tools,
      Tools behaviour,
      long toolMicros,
      int maxTokens,
      String mark,
      boolean retry,
      String tenant,
      String key) {
    /** A call that names no tenant. */
    public Ask(
        String tool,
        int classId,
        ArrayNode messages,
        String conversation,
        List<String> tools,
        Tools behaviour,
        long toolMicros,
        int maxTokens,
        String mark,
        boolean retry) {
      this(
          tool,
          classId,
          messages,
          conversation,
          tools,
          behaviour,
          toolMicros,
          maxTokens,
          mark,
          retry,
          null,
          null);
    }

    /** The same call for a tenant. */
    public Ask by(String name) {
      return new Ask(
          tool,
          classId,
          messages,
          conversation,
          tools,
          behaviour,
          toolMicros,
          maxTokens,
          mark,
          retry,
          name,
          key);
    }

    /** The same call under a key that all its repeats have. */
    public Ask under(String name) {
      return new Ask(
          tool,
          classId,
          messages,
          conversation,
          tools,
          behaviour,
          toolMicros,
          maxTokens,
          mark,
          retry,
          tenant,
          name);
    }
  }

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
  public Call call(Ask ask, Consumer<Call> then) {
    return new Call(ask, then);
  }

  /** One call under way. */
  public final class Call implements ResponseReceiver {
    private final Ask ask;
    private final int id = nextId++;
    private final Consumer<Call> then;
    private final CallRecord seen;
    private final HttpCall http;
    private boolean told;

    private Call(Ask ask, Consumer<Call> then) {
      this.ask = ask;
      this.then = then;
      ObjectNode params = JsonNodeFactory.instance.objectNode().put("name", ask.tool());
      ObjectNode arguments = params.putObject("arguments");
      arguments.set("messages", ask.messages());
      arguments.put("max_tokens", ask.maxTokens());
      if (ask.conversation() != null) {
        arguments.put("conversation", ask.conversation());
      }
      ArrayNode tools = arguments.putArray("tools");
      ask.tools()
          .forEach(
              t -> tools.addObject().put("name", t).putObject("inputSchema").put("type", "object"));
      ObjectNode meta = params.putObject("_meta").put("progressToken", id);
      if (ask.retry()) {
        meta.put("lemondock/retry", true);
      }
      if (ask.key() != null) {
        meta.put("lemondock/key", ask.key());
      }
      if (ask.tenant() != null) {
        meta.put("lemondock/tenant", ask.tenant());
      }
      int chars = 0;
      for (JsonNode m : ask.messages()) {
        chars += m.path("content").asText().length();
      }
      this.seen =
          new CallRecord(ask.mark(), gateway, ask.classId(), chars, ask.retry(), loop.now());
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
    public Ask ask() {
      return ask;
    }

    /** Gives up: says so, and closes the connection. */
    public void leave() {
      if (seen.endedAt == 0 && seen.brokeAt == 0) {
        seen.leftAt = loop.now();
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
        seen.notTaken = true;
        reset();
      } else if (head.status() == 503) {
        seen.notTaken = true; // at its limit
      } else if (head.status() != 200) {
        seen.oddities.add("status " + head.status());
      }
    }

    @Override
    public void onBody(byte[] bytes) {
      if (seen.notTaken) {
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
      if (seen.endedAt != 0) {
        seen.afterEnd++;
      } else if (message instanceof JsonRpcMessage.Notification n
          && n.method().equals(Mcp.PROGRESS)) {
        progress(n.params());
      } else if (message instanceof JsonRpcMessage.Request r && r.method().equals(Mcp.TOOLS_CALL)) {
        tool(r);
      } else if (message instanceof JsonRpcMessage.Response r && r.id().asInt(-1) == id) {
        response(r);
      } else if (!(message instanceof JsonRpcMessage.Notification)) {
        seen.oddities.add("unexpected message " + json);
      }
    }

    private void progress(JsonNode params) {
      seen.firstAt = seen.firstAt == 0 ? loop.now() : seen.firstAt;
      int count = params.path("progress").asInt();
      if (count <= seen.tokens) {
        seen.oddities.add("progress went from " + seen.tokens + " to " + count);
      }
      seen.tokens = count;
      seen.streamed.append(params.path("message").asText());
    }

    private void tool(JsonRpcMessage.Request request) {
      seen.firstAt = seen.firstAt == 0 ? loop.now() : seen.firstAt;
      seen.toolCalls.add(
          request.params().path("name").asText() + request.params().path("arguments"));
      ObjectNode answer;
      if (ask.behaviour() == Tools.ERROR) {
        answer = JsonRpc.error(request.id(), -32000, "the tool failed", null);
      } else {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        result
            .putArray("content")
            .addObject()
            .put("type", "text")
            .put("text", "did-" + request.params().path("name").asText());
        answer = JsonRpc.result(request.id(), result);
      }
      if (ask.behaviour() != Tools.SILENT) {
        loop.schedule(
            ask.toolMicros(),
            () -> {
              post(answer, new Quiet());
              if (ask.behaviour() == Tools.TWICE) {
                post(answer, new Quiet());
              }
            });
      }
    }

    private void response(JsonRpcMessage.Response response) {
      seen.responses++;
      seen.endedAt = loop.now();
      if (response.error() != null) {
        seen.errorCode = response.error().path("code").asInt();
        seen.retryable = response.error().path("data").path("retryable").asBoolean(false);
        seen.became = response.error().path("data").path("became").asText(null);
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
      if (seen.endedAt == 0) {
        seen.brokeAt = loop.now();
        seen.notTaken |=
            failure == RequestFailure.NOT_SENT || failure == RequestFailure.LOCAL_LIMIT_REACHED;
      }
      reset();
      over();
    }

    private void over() {
      if (seen.endedAt == 0 && seen.brokeAt == 0) {
        seen.brokeAt = loop.now(); // the stream ended without a response
      }
      if (!told) {
        told = true;
        then.accept(this);
      }
    }
  }
}
