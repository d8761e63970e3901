package lemondock.gateway.front;

import static lemondock.gateway.front.FrontAnswers.bytes;
import static lemondock.gateway.front.FrontAnswers.clip;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.CallStatus;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/**
 * What is answered to one POST: a JSON text, or an event stream as soon as a call is among its
 * requests.
 */
final class PostReply implements McpCall.Reply, Stream.Owner {
  private final Services services;
  private final HttpExchange exchange;
  private final McpSession session;
  private final Shape shape;
  private final List<ObjectNode> ready;
  private final List<McpCall> open = new ArrayList<>();
  private int left;
  private Stream stream;

  /**
   * What all replies of one front work with; {@code stopping} says whether new calls are turned
   * away.
   */
  record Services(
      Loop loop,
      GatewaySettings settings,
      CallService calls,
      PromptReader prompts,
      CallIntake intake,
      BooleanSupplier stopping) {}

  /**
   * The form of an answer: whether it is a batch, whether it may become an event stream, and to how
   * many requests.
   */
  record Shape(boolean batch, boolean mayStream, int requests) {}

  /** Makes the answer to one POST; {@code ready} holds what is answered already. */
  PostReply(
      Services services,
      HttpExchange exchange,
      McpSession session,
      Shape shape,
      List<ObjectNode> ready) {
    this.services = services;
    this.exchange = exchange;
    this.session = session;
    this.shape = shape;
    this.left = shape.requests();
    this.ready = ready;
  }

  /**
   * Answers a request at once or begins its call; {@code reading} is what was made of a call, null
   * for other methods.
   */
  void take(JsonRpcMessage.Request request, CallIntake.Reading reading) {
    if (!request.method().equals(Mcp.TOOLS_CALL)) {
      done(answer(request));
    } else if (reading instanceof CallIntake.Malformed malformed) {
      done(JsonRpc.error(request.id(), JsonRpc.INVALID_PARAMS, malformed.problem(), null));
    } else if (reading instanceof CallIntake.Refused refused) {
      boolean repeat = CallIntake.repeat(request.params());
      services.intake().arrived(refused.classId(), repeat);
      services.calls().refusedLate(refused.classId(), CallIntake.tenant(request), repeat);
      done(CallIntake.refusal(request.id(), refused.retryAfter()));
    } else if (reading instanceof CallIntake.Accepted accepted) {
      services.intake().arrived(accepted.prompt().classId(), CallIntake.repeat(request.params()));
      call(request, accepted.prompt());
    }
  }

  private ObjectNode answer(JsonRpcMessage.Request request) {
    return switch (request.method()) {
      case Mcp.PING -> JsonRpc.result(request.id(), JsonNodeFactory.instance.objectNode());
      case Mcp.TOOLS_LIST -> {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        result.set("tools", services.prompts().listing());
        yield JsonRpc.result(request.id(), result);
      }
      case Mcp.INITIALIZE ->
          JsonRpc.error(
              request.id(),
              JsonRpc.INVALID_REQUEST,
              "Invalid Request: initialize is sent alone",
              null);
      default ->
          JsonRpc.error(
              request.id(),
              JsonRpc.METHOD_NOT_FOUND,
              "Method not found: " + clip(request.method()),
              null);
    };
  }

  private void call(JsonRpcMessage.Request request, Prompt prompt) {
    String problem = null;
    int code = Mcp.LIMIT;
    if (session.calls.containsKey(request.id().toString())) {
      code = JsonRpc.INVALID_REQUEST;
      problem =
          "Invalid Request: a call with id " + clip(request.id().toString()) + " is under way";
    } else if (session.wasCancelled(request.id().toString(), services.loop().now())) {
      code = Mcp.FAILED;
      problem = "cancelled by the client";
    } else if (known(request, prompt)) {
      return;
    } else if (prompt.tools() != null && !shape.mayStream()) {
      code = JsonRpc.INVALID_PARAMS;
      problem = "/arguments/tools: tools need a client that accepts text/event-stream";
    } else if (services.stopping().getAsBoolean()) {
      code = Mcp.STOPPING;
      problem = "the gateway is stopping";
    } else if (session.calls.size() >= services.settings().front().maxCallsPerSession()) {
      problem =
          "no more than "
              + services.settings().front().maxCallsPerSession()
              + " calls of a session at once";
    } else if (!services.calls().hasRoom()) {
      problem = "no more than " + services.settings().limits().maxCalls() + " calls at once";
    }
    if (problem != null) {
      if (code == Mcp.LIMIT || code == Mcp.STOPPING) {
        services
            .calls()
            .turnedAway(prompt, CallIntake.tenant(request), CallIntake.repeat(request.params()));
      }
      ObjectNode data =
          JsonNodeFactory.instance
              .objectNode()
              .put("retryable", code == Mcp.LIMIT || code == Mcp.STOPPING);
      done(JsonRpc.error(request.id(), code, problem, data));
      return;
    }
    if (shape.mayStream() && stream == null) {
      stream =
          new Stream(
              services.loop(),
              session.nextStream++,
              services.settings().front().replayBytes(),
              GatewaySettings.micros(services.settings().front().resumeWindowMs()),
              GatewaySettings.micros(services.settings().front().keepAliveMs()),
              this);
      session.streams.put(stream.number(), stream);
      stream.open(
          exchange,
          session.id,
          session.version.compareTo(Mcp.FIRST_VERSION_WITH_PRIMING_EVENT) >= 0);
    } else if (stream == null) {
      exchange.onDisconnect(() -> leaveAll("the client's connection is gone"));
    }
    start(request, prompt);
  }

  /**
   * Whether an earlier call under the client's key keeps this one from running; the client was told
   * what became of it.
   */
  private boolean known(JsonRpcMessage.Request request, Prompt prompt) {
    String key = CallIntake.onceKey(request.params());
    Optional<CallStatus> blocking = services.calls().blockingStatus(prompt, key);
    if (blocking.isEmpty()) {
      return false;
    }
    CallStatus status = blocking.get();
    boolean again = status == CallStatus.IN_PROGRESS || status == CallStatus.STORE_FULL;
    ObjectNode data =
        JsonNodeFactory.instance
            .objectNode()
            .put("retryable", again)
            .put("became", status.protocolName());
    ArrayNode told = data.putArray("relayed");
    services
        .calls()
        .relayedToolCalls(key)
        .forEach(r -> told.addObject().put("tool", r.tool()).put("answered", r.answered()));
    done(
        JsonRpc.error(
            request.id(),
            again ? Mcp.LIMIT : Mcp.FAILED,
            switch (status) {
              case IN_PROGRESS -> "a call under that key is under way";
              case COMPLETED -> "the call under that key was served";
              case STORE_FULL -> "no more calls can be remembered at present";
              default -> "the call under that key may have run";
            },
            data));
    return true;
  }

  private void start(JsonRpcMessage.Request request, Prompt prompt) {
    JsonNode token = request.params().path("_meta").get("progressToken");
    McpCall call =
        new McpCall(
            session,
            request.id(),
            stream == null ? null : token,
            services.settings().classes().get(prompt.classId()).repeat().equals("safe"),
            prompt.conversation(),
            this);
    open.add(call);
    session.calls.put(call.key(), call);
    long key = CallService.sessionKey(prompt.conversation(), session.id + "/" + session.nextCall++);
    services
        .calls()
        .start(
            prompt,
            key,
            CallIntake.tenant(request),
            CallIntake.repeat(request.params()),
            CallIntake.onceKey(request.params()),
            call);
  }

  @Override
  public void message(String json) {
    if (stream != null) {
      stream.send(json);
    }
  }

  @Override
  public void progress(Progress progress, int tokens, CharSequence piece) {
    if (stream != null) {
      stream.send(progress, tokens, piece);
    }
  }

  @Override
  public void response(McpCall call, ObjectNode response) {
    closed(call);
    done(response);
  }

  @Override
  public int shard() {
    return exchange.shard();
  }

  @Override
  public Object lock() {
    return stream != null ? stream : this;
  }

  @Override
  public boolean flows() {
    return stream == null || stream.flows();
  }

  @Override
  public void cancelled(McpCall call) {
    closed(call);
    if (stream == null) {
      done(JsonRpc.error(call.id(), Mcp.FAILED, "cancelled by the client", null));
    } else {
      left--;
    }
    flush();
  }

  private void closed(McpCall call) {
    open.remove(call);
    session.calls.remove(call.key(), call);
  }

  private void done(ObjectNode response) {
    left--;
    ready.add(response);
    if (stream != null || left == 0) {
      flush();
    }
  }

  /** Sends what is ready; ends the answer when nothing is owed any more. */
  void flush() {
    if (stream != null) {
      ready.forEach(r -> stream.send(r.toString()));
      ready.clear();
      if (left == 0) {
        stream.finish();
      }
    } else if (left == 0 && !ready.isEmpty()) {
      JsonNode body = ready.get(0);
      if (shape.batch()) {
        body = JsonNodeFactory.instance.arrayNode().addAll(ready);
      }
      ready.clear();
      exchange.respond(
          200,
          Headers.of("content-type", "application/json", Mcp.SESSION_HEADER, session.id),
          bytes(body));
    }
  }

  @Override
  public void slow() {
    open.forEach(c -> c.call().pause());
  }

  @Override
  public void flow() {
    open.forEach(c -> c.call().resume());
  }

  @Override
  public void over(Stream ended, boolean delivered) {
    session.streams.remove(ended.number(), ended);
    if (!session.ended) {
      leaveAll("the client's stream was not taken up again");
    }
  }

  private void leaveAll(String why) {
    for (McpCall call : List.copyOf(open)) {
      call.call().leave(why);
      closed(call);
    }
  }
}
