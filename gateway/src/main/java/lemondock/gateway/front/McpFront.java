package lemondock.gateway.front;

import static lemondock.gateway.front.FrontAnswers.bytes;
import static lemondock.gateway.front.FrontAnswers.clip;
import static lemondock.gateway.front.FrontAnswers.error;
import static lemondock.gateway.front.FrontAnswers.text;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpRejection;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpService;
import lemondock.overload.Admission;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients' front: the Model Context Protocol over Streamable HTTP. It speaks the protocol and
 * keeps sessions; what becomes of a call is decided behind {@link CallService}.
 */
public final class McpFront implements HttpService {
  private static final Logger LOG = LoggerFactory.getLogger(McpFront.class);
  private static final String PATH = "/mcp";
  private static final byte[] NOTHING = new byte[0];
  private static final long REAP_EVERY = 1_000_000;

  private final Loop loop;
  private final GatewaySettings.Front settings;
  private final CallIntake intake;
  private final AccessCheck access;
  private final PostReply.Services replies;
  private final Supplier<String> sessionIds;
  private final String version;
  private final Map<String, McpSession> sessions = new HashMap<>();
  private final Supplier<String> notReady;
  private boolean leaving;
  private boolean stopping;

  /**
   * Makes a front.
   *
   * @param sessionIds gives ids that cannot be guessed
   * @param admission what is let in when the gateway itself is late
   * @param notReady says why nothing can be served now, empty if it can
   */
  public McpFront(
      Loop loop,
      GatewaySettings settings,
      CallService calls,
      PromptReader prompts,
      Supplier<String> sessionIds,
      Supplier<String> notReady,
      Admission admission,
      String version) {
    this.loop = loop;
    this.settings = settings.front();
    this.sessionIds = sessionIds;
    this.notReady = notReady;
    this.version = version;
    this.intake = new CallIntake(settings, calls, prompts, admission);
    this.access = new AccessCheck(settings.front());
    this.replies = new PostReply.Services(loop, settings, calls, prompts, intake, () -> stopping);
  }

  /** Begins to let go of idle sessions. */
  public void start() {
    loop.schedule(
        REAP_EVERY,
        () -> {
          long idle = GatewaySettings.micros(settings.sessionIdleMs());
          List.copyOf(sessions.values()).stream()
              .filter(
                  s ->
                      s.calls.isEmpty()
                          && s.streams.isEmpty()
                          && s.server == null
                          && loop.now() - s.usedAt > idle)
              .forEach(s -> end(s, "the session was idle"));
          start();
        });
  }

  /** Says to load balancers that it is about to stop; everything is served on. */
  public void leave() {
    leaving = true;
  }

  /** Takes no new sessions and calls from here on; those under way go on. */
  public void stop() {
    stopping = true;
  }

  /** Closes what is still open, at the end of a stop. */
  public void close() {
    List.copyOf(sessions.values()).forEach(s -> end(s, "the gateway stops"));
  }

  /** Sessions open. */
  public int sessions() {
    return sessions.size();
  }

  /** Event streams of calls open, those that wait for their client to come back among them. */
  public int streams() {
    return sessions.values().stream().mapToInt(s -> s.streams.size()).sum();
  }

  // ==== on I/O threads

  @Override
  public boolean needsBodyToServe() {
    return false;
  }

  @Override
  public Object prepare(HttpRequest request) {
    return request.method().equals("POST") ? intake.prepare(request) : null;
  }

  @Override
  public int earlyRejectionBytes() {
    return Peek.FAR;
  }

  @Override
  public HttpRejection rejectEarly(HttpRequest request) {
    return intake.turnsAway(request);
  }

  // ==== requests

  @Override
  public void serve(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    String forbidden = access.forbidden(request);
    if (forbidden != null) {
      text(exchange, 403, forbidden);
    } else if (request.path().equals("/healthz") || request.path().equals("/readyz")) {
      probe(
          exchange,
          request.path().equals("/healthz")
              ? ""
              : stopping || leaving ? "the gateway stops" : notReady.get());
    } else if (!request.path().equals(PATH)) {
      text(exchange, 404, "there is nothing here; the service is at " + PATH);
    } else {
      switch (request.method()) {
        case "POST" -> post(exchange);
        case "GET" -> get(exchange);
        case "DELETE" -> delete(exchange);
        default -> exchange.respond(405, Headers.of("allow", "POST, GET, DELETE"), NOTHING);
      }
    }
  }

  /** What a load balancer asks: 200, or 503 and why not. */
  private static void probe(HttpExchange exchange, String why) {
    if (exchange.request().method().equals("GET") || exchange.request().method().equals("HEAD")) {
      text(exchange, why.isEmpty() ? 200 : 503, why.isEmpty() ? "ok" : why);
    } else {
      exchange.respond(405, Headers.of("allow", "GET, HEAD"), NOTHING);
    }
  }

  private void post(HttpExchange exchange) {
    Headers headers = exchange.request().headers();
    String type = headers.get("content-type");
    if (type == null || !type.split(";")[0].strip().equalsIgnoreCase("application/json")) {
      text(
          exchange,
          415,
          "expected content-type application/json, found " + clip(String.valueOf(type)));
      return;
    }
    boolean json = accepts(headers, "application/json");
    boolean stream = accepts(headers, "text/event-stream");
    if (!json && !stream) {
      text(exchange, 406, "expected accept: application/json, text/event-stream");
      return;
    }
    CallIntake.Prepared prepared = (CallIntake.Prepared) exchange.prepared();
    List<JsonRpcMessage> messages = prepared.parsed().messages();
    if (!prepared.parsed().batch() && messages.get(0) instanceof JsonRpcMessage.Invalid invalid) {
      error(exchange, 400, invalid.id(), invalid.code(), invalid.reason());
      return;
    }
    if (!prepared.parsed().batch()
        && messages.get(0) instanceof JsonRpcMessage.Request first
        && first.method().equals(Mcp.INITIALIZE)) {
      initialize(exchange, first);
      return;
    }
    McpSession session = session(exchange);
    if (session == null) {
      return;
    }
    if (prepared.parsed().batch() && !session.version.equals(Mcp.BATCH_VERSION)) {
      error(
          exchange,
          400,
          NullNode.instance,
          JsonRpc.INVALID_REQUEST,
          "Invalid Request: version " + session.version + " has no batches");
      return;
    }
    messages(exchange, session, prepared, stream);
  }

  private static boolean accepts(Headers headers, String type) {
    for (String value : headers.getAll("accept")) {
      for (String part : value.split(",")) {
        String range = part.split(";")[0].strip().toLowerCase(Locale.ROOT);
        if (range.equals(type) || range.equals("*/*") || range.equals(type.split("/")[0] + "/*")) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * The session that a request names, in the version it speaks; null if that was answered with an
   * error.
   */
  private McpSession session(HttpExchange exchange) {
    Headers headers = exchange.request().headers();
    String spoken = headers.get(Mcp.VERSION_HEADER);
    if (spoken != null && !Mcp.VERSIONS.contains(spoken)) {
      error(
          exchange,
          400,
          NullNode.instance,
          JsonRpc.INVALID_REQUEST,
          "Bad Request: unsupported protocol version "
              + clip(spoken)
              + ", expected one of "
              + Mcp.VERSIONS);
      return null;
    }
    String id = headers.get(Mcp.SESSION_HEADER);
    if (id == null) {
      error(
          exchange,
          400,
          NullNode.instance,
          JsonRpc.INVALID_REQUEST,
          "Bad Request: expected header " + Mcp.SESSION_HEADER);
      return null;
    }
    McpSession session = sessions.get(id);
    if (session == null) {
      error(exchange, 404, NullNode.instance, JsonRpc.INVALID_REQUEST, "Session not found");
      return null;
    }
    session.usedAt = loop.now();
    return session;
  }

  private void initialize(HttpExchange exchange, JsonRpcMessage.Request request) {
    JsonNode asked = request.params() == null ? null : request.params().get("protocolVersion");
    if (asked == null || !asked.isTextual()) {
      error(
          exchange,
          400,
          request.id(),
          JsonRpc.INVALID_PARAMS,
          "/protocolVersion: expected a text, found " + asked);
      return;
    }
    if (stopping) {
      error(exchange, 503, request.id(), Mcp.STOPPING, "the gateway is stopping");
      return;
    }
    OptionalLong retryAfter = intake.newcomerRefused();
    if (retryAfter.isPresent()) {
      ObjectNode data = JsonNodeFactory.instance.objectNode().put("retryable", true);
      exchange.respond(
          503,
          Headers.of(
              "content-type",
              "application/json",
              "retry-after",
              Long.toString(CallIntake.wholeSeconds(retryAfter.getAsLong()))),
          bytes(JsonRpc.error(request.id(), Mcp.LIMIT, "the gateway is at its limit", data)));
      return;
    }
    if (sessions.size() >= settings.maxSessions()) {
      error(
          exchange,
          503,
          request.id(),
          Mcp.LIMIT,
          "no more than " + settings.maxSessions() + " sessions at once");
      return;
    }
    McpSession session =
        new McpSession(sessionIds.get(), Mcp.negotiate(asked.textValue()), loop.now());
    sessions.put(session.id, session);
    ObjectNode result =
        JsonNodeFactory.instance.objectNode().put("protocolVersion", session.version);
    result.putObject("capabilities").putObject("tools").put("listChanged", false);
    result.putObject("serverInfo").put("name", "lemondock").put("version", version);
    exchange.respond(
        200,
        Headers.of("content-type", "application/json", Mcp.SESSION_HEADER, session.id),
        bytes(JsonRpc.result(request.id(), result)));
  }

  private void delete(HttpExchange exchange) {
    McpSession session = session(exchange);
    if (session != null) {
      end(session, "the client ended the session");
      exchange.respond(204, new Headers(), NOTHING);
    }
  }

  private void end(McpSession session, String why) {
    session.ended = true;
    sessions.remove(session.id);
    for (McpCall call : List.copyOf(session.calls.values())) {
      call.call().leave(why);
    }
    session.calls.clear();
    session.relayed.clear();
    List.copyOf(session.streams.values()).forEach(Stream::close);
    if (session.server != null) {
      session.server.close();
    }
  }

  /**
   * The client's side of a stream: a new one for what the server says by itself, or one that broke.
   */
  private void get(HttpExchange exchange) {
    if (!accepts(exchange.request().headers(), "text/event-stream")) {
      text(exchange, 406, "expected accept: text/event-stream");
      return;
    }
    McpSession session = session(exchange);
    if (session == null) {
      return;
    }
    String last = exchange.request().headers().get(Mcp.LAST_EVENT_HEADER);
    if (last != null) {
      resume(exchange, session, last);
      return;
    }
    if (session.server != null) {
      session.server.close(); // one such stream a session: the newer one wins
    }
    Stream stream =
        new Stream(
            loop,
            0,
            settings.replayBytes(),
            0,
            GatewaySettings.micros(settings.keepAliveMs()),
            new Stream.Owner() {
              @Override
              public void slow() {}

              @Override
              public void flow() {}

              @Override
              public void over(Stream ended, boolean delivered) {
                if (session.server == ended) {
                  session.server = null;
                }
              }
            });
    session.server = stream;
    stream.open(exchange, session.id, false);
  }

  private void resume(HttpExchange exchange, McpSession session, String last) {
    if (last.matches("[0-9]{1,18}-[0-9]{1,18}")) {
      String[] parts = last.split("-");
      Stream stream = session.streams.get(Long.parseLong(parts[0]));
      if (stream != null && stream.resume(exchange, session.id, Long.parseLong(parts[1]))) {
        return;
      }
    }
    text(
        exchange,
        404,
        "the stream of event " + clip(last) + " is over or its events are not kept any more");
  }

  // ==== messages

  private void messages(
      HttpExchange exchange, McpSession session, CallIntake.Prepared prepared, boolean stream) {
    List<JsonRpcMessage.Request> requests = new ArrayList<>();
    List<ObjectNode> ready = new ArrayList<>();
    for (JsonRpcMessage message : prepared.parsed().messages()) {
      if (message instanceof JsonRpcMessage.Request request) {
        requests.add(request);
      } else if (message instanceof JsonRpcMessage.Notification notification) {
        notified(session, notification);
      } else if (message instanceof JsonRpcMessage.Response response) {
        responded(session, response);
      } else if (message instanceof JsonRpcMessage.Invalid invalid) {
        ready.add(JsonRpc.error(invalid.id(), invalid.code(), invalid.reason(), null));
      }
    }
    if (requests.isEmpty() && ready.isEmpty()) {
      exchange.respond(202, new Headers(), NOTHING);
      return;
    }
    PostReply.Shape shape = new PostReply.Shape(prepared.parsed().batch(), stream, requests.size());
    PostReply reply = new PostReply(replies, exchange, session, shape, ready);
    for (JsonRpcMessage.Request request : requests) {
      reply.take(request, prepared.readings().get(request));
    }
    reply.flush();
  }

  private void notified(McpSession session, JsonRpcMessage.Notification notification) {
    if (notification.method().equals(Mcp.CANCELLED) && notification.params() != null) {
      JsonNode id = notification.params().get("requestId");
      McpCall call = id == null ? null : session.calls.get(id.toString());
      if (call != null) {
        call.call().leave("the client cancelled");
        call.cancelled();
      } else if (id != null) {
        session.cancelledEarly(id.toString(), loop.now());
      }
    }
  }

  /** A response to a call that the gateway relayed. What nobody waits for is logged and dropped. */
  private void responded(McpSession session, JsonRpcMessage.Response response) {
    McpSession.Relayed relayed =
        response.id().isTextual() ? session.relayed.remove(response.id().textValue()) : null;
    boolean taken =
        relayed != null
            && relayed
                .call()
                .result(
                    relayed.callId(), CallService.toolResult(response.result(), response.error()));
    if (!taken) {
      LOG.atInfo()
          .addKeyValue("request", clip(response.id().toString()))
          .log("a response that nobody waits for (unknown, late or a repeat) was" + " dropped");
    }
  }
}
