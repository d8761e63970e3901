package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.bytes;
import static lemondock.gateway.mcp.HttpReplies.clip;

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
import lemondock.gateway.core.CallRequest;
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
final class PostResponder implements McpCall.Reply, ResumableEventStream.Listener {
  private final Dependencies dependencies;
  private final HttpExchange exchange;
  private final McpSession session;
  private final ResponseMode mode;
  private final List<ObjectNode> readyResponses;
  private final List<McpCall> openCalls = new ArrayList<>();
  private int pendingResponses;
  private ResumableEventStream stream;

  /**
   * What all replies of one front work with; {@code stopping} says whether new calls are turned
   * away.
   */
  record Dependencies(
      Loop loop,
      GatewaySettings settings,
      CallService calls,
      PromptReader prompts,
      RequestPreparer intake,
      BooleanSupplier stopping) {}

  /**
   * The form of an answer: whether it is a batch, whether it may become an event stream, and to how
   * many requests.
   */
  record ResponseMode(boolean batch, boolean mayStream, int requests) {}

  /** Makes the answer to one POST; {@code ready} holds what is answered already. */
  PostResponder(
      Dependencies services,
      HttpExchange exchange,
      McpSession session,
      ResponseMode shape,
      List<ObjectNode> ready) {
    this.dependencies = services;
    this.exchange = exchange;
    this.session = session;
    this.mode = shape;
    this.pendingResponses = shape.requests();
    this.readyResponses = ready;
  }

  /**
   * Answers a request at once or begins its call; {@code reading} is what was made of a call, null
   * for other methods.
   */
  void accept(JsonRpcMessage.Request request, RequestPreparer.PreparedCall reading) {
    if (!request.method().equals(Mcp.TOOLS_CALL)) {
      addResponse(answerDirectly(request));
    } else if (reading instanceof RequestPreparer.Malformed malformed) {
      addResponse(JsonRpc.error(request.id(), JsonRpc.INVALID_PARAMS, malformed.problem(), null));
    } else if (reading instanceof RequestPreparer.Rejected refused) {
      boolean repeat = RequestPreparer.isRetry(request.params());
      dependencies.intake().recordArrival(refused.classId(), repeat);
      dependencies.calls().shedLoad(refused.classId(), RequestPreparer.tenant(request), repeat);
      addResponse(RequestPreparer.rejection(request.id(), refused.retryAfterMicros()));
    } else if (reading instanceof RequestPreparer.Accepted accepted) {
      dependencies
          .intake()
          .recordArrival(accepted.prompt().classId(), RequestPreparer.isRetry(request.params()));
      acceptToolCall(request, accepted.prompt());
    }
  }

  private ObjectNode answerDirectly(JsonRpcMessage.Request request) {
    return switch (request.method()) {
      case Mcp.PING -> JsonRpc.result(request.id(), JsonNodeFactory.instance.objectNode());
      case Mcp.TOOLS_LIST -> {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        result.set("tools", dependencies.prompts().toolList());
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

  private void acceptToolCall(JsonRpcMessage.Request request, Prompt prompt) {
    String problem = null;
    int code = Mcp.LIMIT;
    if (session.calls.containsKey(request.id().toString())) {
      code = JsonRpc.INVALID_REQUEST;
      problem =
          "Invalid Request: a call with id " + clip(request.id().toString()) + " is under way";
    } else if (session.wasCancelled(request.id().toString(), dependencies.loop().now())) {
      code = Mcp.FAILED;
      problem = "cancelled by the client";
    } else if (rejectDuplicate(request, prompt)) {
      return;
    } else if (prompt.tools() != null && !mode.mayStream()) {
      code = JsonRpc.INVALID_PARAMS;
      problem = "/arguments/tools: tools need a client that accepts text/event-stream";
    } else if (dependencies.stopping().getAsBoolean()) {
      code = Mcp.STOPPING;
      problem = "the gateway is stopping";
    } else if (session.calls.size() >= dependencies.settings().front().maxCallsPerSession()) {
      problem =
          "no more than "
              + dependencies.settings().front().maxCallsPerSession()
              + " calls of a session at once";
    } else if (!dependencies.calls().hasCapacity()) {
      problem = "no more than " + dependencies.settings().limits().maxCalls() + " calls at once";
    }
    if (problem != null) {
      if (code == Mcp.LIMIT || code == Mcp.STOPPING) {
        dependencies
            .calls()
            .rejected(
                prompt, RequestPreparer.tenant(request), RequestPreparer.isRetry(request.params()));
      }
      ObjectNode data =
          JsonNodeFactory.instance
              .objectNode()
              .put("retryable", code == Mcp.LIMIT || code == Mcp.STOPPING);
      addResponse(JsonRpc.error(request.id(), code, problem, data));
      return;
    }
    if (mode.mayStream() && stream == null) {
      stream =
          new ResumableEventStream(
              dependencies.loop(),
              session.nextStreamNumber++,
              dependencies.settings().front().replayBytes(),
              GatewaySettings.micros(dependencies.settings().front().resumeWindowMs()),
              GatewaySettings.micros(dependencies.settings().front().keepAliveMs()),
              this);
      session.streams.put(stream.number(), stream);
      stream.open(
          exchange,
          session.id,
          session.version.compareTo(Mcp.FIRST_VERSION_WITH_PRIMING_EVENT) >= 0);
    } else if (stream == null) {
      exchange.onDisconnect(() -> cancelAllCalls("the client's connection is gone"));
    }
    startCall(request, prompt);
  }

  /**
   * Whether an earlier call under the client's key keeps this one from running; the client was told
   * what became of it.
   */
  private boolean rejectDuplicate(JsonRpcMessage.Request request, Prompt prompt) {
    String key = RequestPreparer.idempotencyKey(request.params());
    Optional<CallStatus> blocking =
        dependencies.calls().blockingStatus(prompt, Optional.ofNullable(key));
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
    dependencies
        .calls()
        .relayedToolCalls(key)
        .forEach(r -> told.addObject().put("tool", r.tool()).put("answered", r.answered()));
    addResponse(
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

  private void startCall(JsonRpcMessage.Request request, Prompt prompt) {
    JsonNode token = request.params().path("_meta").get("progressToken");
    McpCall call =
        new McpCall(
            session,
            request.id(),
            stream == null ? null : token,
            dependencies.settings().classes().get(prompt.classId()).isIdempotent(),
            prompt.conversation(),
            this);
    openCalls.add(call);
    session.calls.put(call.key(), call);
    long key =
        CallService.sessionKey(prompt.conversation(), session.id + "/" + session.nextCallNumber++);
    dependencies
        .calls()
        .start(
            new CallRequest(
                prompt,
                key,
                Optional.ofNullable(RequestPreparer.tenant(request)),
                RequestPreparer.isRetry(request.params()),
                Optional.ofNullable(RequestPreparer.idempotencyKey(request.params()))),
            call);
  }

  @Override
  public void message(String json) {
    if (stream != null) {
      stream.send(json);
    }
  }

  @Override
  public void progress(ProgressNotification progress, int tokens, CharSequence piece) {
    if (stream != null) {
      stream.send(progress, tokens, piece);
    }
  }

  @Override
  public void response(McpCall call, ObjectNode response) {
    removeCall(call);
    addResponse(response);
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
    return stream == null || stream.hasCapacity();
  }

  @Override
  public void cancelled(McpCall call) {
    removeCall(call);
    if (stream == null) {
      addResponse(JsonRpc.error(call.id(), Mcp.FAILED, "cancelled by the client", null));
    } else {
      pendingResponses--;
    }
    flush();
  }

  private void removeCall(McpCall call) {
    openCalls.remove(call);
    session.calls.remove(call.key(), call);
  }

  private void addResponse(ObjectNode response) {
    pendingResponses--;
    readyResponses.add(response);
    if (stream != null || pendingResponses == 0) {
      flush();
    }
  }

  /** Sends what is ready; ends the answer when nothing is owed any more. */
  void flush() {
    if (stream != null) {
      readyResponses.forEach(r -> stream.send(r.toString()));
      readyResponses.clear();
      if (pendingResponses == 0) {
        stream.finish();
      }
    } else if (pendingResponses == 0 && !readyResponses.isEmpty()) {
      JsonNode body = readyResponses.get(0);
      if (mode.batch()) {
        body = JsonNodeFactory.instance.arrayNode().addAll(readyResponses);
      }
      readyResponses.clear();
      exchange.respond(
          200,
          Headers.of("content-type", "application/json", Mcp.SESSION_HEADER, session.id),
          bytes(body));
    }
  }

  @Override
  public void pauseProducer() {
    openCalls.forEach(c -> c.call().pauseOutput());
  }

  @Override
  public void resumeProducer() {
    openCalls.forEach(c -> c.call().resumeOutput());
  }

  @Override
  public void streamClosed(ResumableEventStream ended, boolean delivered) {
    session.streams.remove(ended.number(), ended);
    if (!session.ended) {
      cancelAllCalls("the client's stream was not taken up again");
    }
  }

  private void cancelAllCalls(String why) {
    for (McpCall call : List.copyOf(openCalls)) {
      call.call().cancel(why);
      removeCall(call);
    }
  }
}
