package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;
import static lemondock.gateway.mcp.HttpReplies.toBytes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.core.CallRequest;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/**
 * The response to one POST. It is an event stream if a call is started and the client accepts
 * streams, else a JSON text. Loop thread only, except for {@link #sendProgress}, {@link
 * #outputLock} and {@link #acceptsDirectOutput}.
 */
final class PostResponder implements McpCall.Reply, ResumableEventStream.Listener {
  private final McpContext context;
  private final HttpExchange exchange;
  private final McpSession session;
  private final ResponseMode mode;
  private final CallAdmission admission;
  private final List<ObjectNode> readyResponses;
  private final List<McpCall> openCalls = new ArrayList<>();
  private int pendingResponseCount;

  /**
   * Null if the response is a JSON text. Set on the loop thread before the first call starts and
   * not changed after that; I/O threads read it for calls in flight.
   */
  private ResumableEventStream stream;

  /**
   * The form of a response.
   *
   * @param batch whether the request was a batch, so that the response is one too
   * @param mayStream whether the client accepts an event stream
   * @param requestCount number of requests that get a response
   */
  record ResponseMode(boolean batch, boolean mayStream, int requestCount) {}

  /** Creates the response to one POST; {@code readyResponses} are those already known. */
  PostResponder(
      McpContext context,
      HttpExchange exchange,
      McpSession session,
      ResponseMode mode,
      List<ObjectNode> readyResponses) {
    this.context = context;
    this.exchange = exchange;
    this.session = session;
    this.mode = mode;
    this.admission = new CallAdmission(context);
    this.pendingResponseCount = mode.requestCount();
    this.readyResponses = readyResponses;
  }

  /**
   * Responds to a request immediately or starts its call.
   *
   * @param preparedCall the prepared call; empty for methods other than {@code tools/call}
   */
  void accept(JsonRpcMessage.Request request, Optional<RequestPreparer.PreparedCall> preparedCall) {
    if (preparedCall.isEmpty()) {
      addResponse(respondDirectly(request));
    } else if (preparedCall.get() instanceof RequestPreparer.Malformed malformed) {
      addResponse(JsonRpc.error(request.id(), JsonRpc.INVALID_PARAMS, malformed.problem(), null));
    } else if (preparedCall.get() instanceof RequestPreparer.Rejected rejected) {
      addResponse(shedLoad(request, rejected));
    } else if (preparedCall.get() instanceof RequestPreparer.Accepted accepted) {
      acceptToolCall(request, accepted.prompt());
    }
  }

  private ObjectNode respondDirectly(JsonRpcMessage.Request request) {
    return switch (request.method()) {
      case Mcp.PING -> JsonRpc.result(request.id(), JsonNodeFactory.instance.objectNode());
      case Mcp.TOOLS_LIST -> {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        result.set("tools", context.prompts().toolList());
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

  private ObjectNode shedLoad(JsonRpcMessage.Request request, RequestPreparer.Rejected rejected) {
    CallMetadata metadata = CallMetadata.of(request.params());
    context.preparer().recordArrival(rejected.classId(), metadata.clientRetry());
    context.calls().recordLoadShed(rejected.classId(), metadata.tenant(), metadata.clientRetry());
    return RequestPreparer.rejection(request.id(), rejected.retryAfterMicros());
  }

  private void acceptToolCall(JsonRpcMessage.Request request, Prompt prompt) {
    CallMetadata metadata = CallMetadata.of(request.params());
    context.preparer().recordArrival(prompt.classId(), metadata.clientRetry());
    Optional<ObjectNode> rejection =
        admission.rejection(session, request, prompt, mode.mayStream());
    if (rejection.isPresent()) {
      addResponse(rejection.get());
      return;
    }
    if (mode.mayStream() && stream == null) {
      openStream();
    } else if (stream == null) {
      exchange.onDisconnect(() -> cancelAllCalls("the client's connection is gone"));
    }
    startCall(request, prompt, metadata);
  }

  private void openStream() {
    GatewaySettings.Front settings = context.settings().front();
    stream =
        new ResumableEventStream(
            context.loop(),
            session.nextStreamNumber(),
            new ResumableEventStream.Options(
                settings.replayBytes(),
                GatewaySettings.micros(settings.resumeWindowMs()),
                GatewaySettings.micros(settings.keepAliveMs())),
            this);
    session.addStream(stream);
    boolean hasPrimingEvent =
        session.version().compareTo(Mcp.FIRST_VERSION_WITH_PRIMING_EVENT) >= 0;
    stream.open(exchange, session.id(), hasPrimingEvent);
  }

  private void startCall(JsonRpcMessage.Request request, Prompt prompt, CallMetadata metadata) {
    McpCall call =
        new McpCall(
            session,
            request.id(),
            new McpCall.Options(
                stream == null ? Optional.empty() : metadata.progressToken(),
                context.settings().classes().get(prompt.classId()).isIdempotent(),
                prompt.conversation()),
            this);
    openCalls.add(call);
    session.addCall(call);
    long sessionKey = CallService.sessionKey(prompt.conversation(), session.nextCallName());
    CallRequest callRequest =
        new CallRequest(
            prompt,
            sessionKey,
            metadata.tenant(),
            metadata.clientRetry(),
            metadata.idempotencyKey());
    context.calls().start(callRequest, call);
  }

  // Output of calls.

  @Override
  public void sendMessage(String json) {
    if (stream != null) {
      stream.send(json);
    }
  }

  @Override
  public void sendProgress(ProgressNotification progress, int tokens, CharSequence piece) {
    if (stream != null) {
      stream.send(progress, tokens, piece);
    }
  }

  @Override
  public void sendResponse(McpCall call, ObjectNode response) {
    removeCall(call);
    addResponse(response);
  }

  @Override
  public void callCancelled(McpCall call) {
    removeCall(call);
    if (stream == null) {
      addResponse(JsonRpc.error(call.id(), Mcp.FAILED, "cancelled by the client", null));
    } else {
      pendingResponseCount--;
    }
    flush();
  }

  @Override
  public int clientShard() {
    return exchange.shard();
  }

  @Override
  public Object outputLock() {
    return stream != null ? stream : this;
  }

  @Override
  public boolean acceptsDirectOutput() {
    return stream == null || stream.hasCapacity();
  }

  // Responses.

  private void addResponse(ObjectNode response) {
    pendingResponseCount--;
    readyResponses.add(response);
    if (stream != null || pendingResponseCount == 0) {
      flush();
    }
  }

  /** Sends the responses that are ready; ends the HTTP response after the last one. */
  void flush() {
    if (stream != null) {
      readyResponses.forEach(response -> stream.send(response.toString()));
      readyResponses.clear();
      if (pendingResponseCount == 0) {
        stream.finish();
      }
    } else if (pendingResponseCount == 0 && !readyResponses.isEmpty()) {
      respondWithJson();
    }
  }

  private void respondWithJson() {
    JsonNode body =
        mode.batch()
            ? JsonNodeFactory.instance.arrayNode().addAll(readyResponses)
            : readyResponses.get(0);
    readyResponses.clear();
    exchange.respond(
        200,
        Headers.of("content-type", ContentNegotiation.JSON, Mcp.SESSION_HEADER, session.id()),
        toBytes(body));
  }

  // Notifications of the event stream.

  @Override
  public void pauseProducer() {
    openCalls.forEach(call -> call.call().pauseOutput());
  }

  @Override
  public void resumeProducer() {
    openCalls.forEach(call -> call.call().resumeOutput());
  }

  @Override
  public void streamClosed(ResumableEventStream closed, boolean delivered) {
    session.removeStream(closed);
    if (!session.hasEnded()) {
      cancelAllCalls("the client's stream was not taken up again");
    }
  }

  private void cancelAllCalls(String reason) {
    for (McpCall call : List.copyOf(openCalls)) {
      call.call().cancel(reason);
      removeCall(call);
    }
  }

  private void removeCall(McpCall call) {
    openCalls.remove(call);
    session.removeCall(call);
  }
}
