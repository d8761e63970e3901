package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.CallStatus;
import lemondock.idempotency.RelayedToolCall;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/**
 * Decides whether a well-formed {@code tools/call} may start: by its session, by what became of an
 * earlier call under its idempotency key, and by the gateway's limits. Loop thread only.
 */
final class CallAdmission {
  private final McpContext context;

  CallAdmission(McpContext context) {
    this.context = context;
  }

  /** Why a call is not started; the code is one of {@link JsonRpc} or {@link Mcp}. */
  private record Problem(int code, String message) {
    /** Whether the gateway rejects the call for now; otherwise the request itself is wrong. */
    boolean isRetryable() {
      return code == Mcp.LIMIT || code == Mcp.STOPPING;
    }
  }

  /**
   * The error that a call gets instead of being started; empty if it may start.
   *
   * @param mayStream whether the client accepts an event stream
   */
  Optional<ObjectNode> rejection(
      McpSession session, JsonRpcMessage.Request request, Prompt prompt, boolean mayStream) {
    Optional<Problem> idProblem = idProblem(session, request.id().toString());
    if (idProblem.isPresent()) {
      return Optional.of(reject(request, prompt, idProblem.get()));
    }
    Optional<ObjectNode> duplicate = duplicateRejection(request, prompt);
    if (duplicate.isPresent()) {
      return duplicate;
    }
    return limitProblem(session, prompt, mayStream)
        .map(problem -> reject(request, prompt, problem));
  }

  private Optional<Problem> idProblem(McpSession session, String key) {
    if (session.call(key).isPresent()) {
      return Optional.of(
          new Problem(
              JsonRpc.INVALID_REQUEST,
              "Invalid Request: a call with id " + clip(key) + " is under way"));
    }
    if (session.takeEarlyCancellation(key, context.loop().now())) {
      return Optional.of(new Problem(Mcp.FAILED, "cancelled by the client"));
    }
    return Optional.empty();
  }

  private Optional<Problem> limitProblem(McpSession session, Prompt prompt, boolean mayStream) {
    GatewaySettings settings = context.settings();
    if (prompt.tools().isPresent() && !mayStream) {
      return Optional.of(
          new Problem(
              JsonRpc.INVALID_PARAMS,
              "/arguments/tools: tools need a client that accepts text/event-stream"));
    }
    if (context.stopping().getAsBoolean()) {
      return Optional.of(new Problem(Mcp.STOPPING, "the gateway is stopping"));
    }
    int maxCallsPerSession = settings.front().maxCallsPerSession();
    if (session.callCount() >= maxCallsPerSession) {
      return Optional.of(
          new Problem(
              Mcp.LIMIT, "no more than " + maxCallsPerSession + " calls of a session at once"));
    }
    if (!context.calls().hasCapacity()) {
      return Optional.of(
          new Problem(
              Mcp.LIMIT, "no more than " + settings.limits().maxCalls() + " calls at once"));
    }
    return Optional.empty();
  }

  private ObjectNode reject(JsonRpcMessage.Request request, Prompt prompt, Problem problem) {
    if (problem.isRetryable()) {
      CallMetadata metadata = CallMetadata.of(request.params());
      context.calls().recordRejected(prompt, metadata.tenant(), metadata.clientRetry());
    }
    ObjectNode data = JsonNodeFactory.instance.objectNode().put("retryable", problem.isRetryable());
    return JsonRpc.error(request.id(), problem.code(), problem.message(), data);
  }

  /** The error if an earlier call under the client's key keeps this one from running. */
  private Optional<ObjectNode> duplicateRejection(JsonRpcMessage.Request request, Prompt prompt) {
    Optional<String> key = CallMetadata.of(request.params()).idempotencyKey();
    return context
        .calls()
        .blockingStatus(prompt, key)
        .map(status -> duplicateError(request, key.orElseThrow(), status));
  }

  private ObjectNode duplicateError(JsonRpcMessage.Request request, String key, CallStatus status) {
    boolean retryable = status == CallStatus.IN_PROGRESS || status == CallStatus.STORE_FULL;
    ObjectNode data =
        JsonNodeFactory.instance
            .objectNode()
            .put("retryable", retryable)
            .put("became", status.protocolName());
    ArrayNode relayed = data.putArray("relayed");
    for (RelayedToolCall toolCall : context.calls().relayedToolCalls(key)) {
      relayed.addObject().put("tool", toolCall.tool()).put("answered", toolCall.answered());
    }
    int code = retryable ? Mcp.LIMIT : Mcp.FAILED;
    return JsonRpc.error(request.id(), code, duplicateMessage(status), data);
  }

  private static String duplicateMessage(CallStatus status) {
    return switch (status) {
      case IN_PROGRESS -> "a call under that key is under way";
      case COMPLETED -> "the call under that key was served";
      case STORE_FULL -> "no more calls can be remembered at present";
      default -> "the call under that key may have run";
    };
  }
}
