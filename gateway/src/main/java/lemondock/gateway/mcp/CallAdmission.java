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
 * Decides whether a well-formed {@code tools/call} may start. This depends on its session, on the
 * status of an earlier call with the same idempotency key, and on the gateway's limits. Loop thread
 * only.
 */
final class CallAdmission {
  private final McpContext context;

  CallAdmission(McpContext context) {
    this.context = context;
  }

  /** Why a call may not start; the code is one of {@link JsonRpc} or {@link Mcp}. */
  private record RejectionReason(int code, String message) {
    /** Whether the rejection is temporary; otherwise the request is invalid or was cancelled. */
    boolean isRetryable() {
      return code == Mcp.LIMIT || code == Mcp.STOPPING;
    }
  }

  /**
   * Returns the error response of a call that is rejected; empty if the call may start.
   *
   * @param mayStream whether the client accepts an event stream
   */
  Optional<ObjectNode> rejection(
      McpSession session, JsonRpcMessage.Request request, Prompt prompt, boolean mayStream) {
    Optional<RejectionReason> callIdRejection = checkCallId(session, request.id().toString());
    if (callIdRejection.isPresent()) {
      return Optional.of(reject(request, prompt, callIdRejection.get()));
    }
    Optional<ObjectNode> duplicate = checkDuplicate(request, prompt);
    if (duplicate.isPresent()) {
      return duplicate;
    }
    return checkLimits(session, prompt, mayStream).map(reason -> reject(request, prompt, reason));
  }

  private Optional<RejectionReason> checkCallId(McpSession session, String key) {
    if (session.findCall(key).isPresent()) {
      return Optional.of(
          new RejectionReason(
              JsonRpc.INVALID_REQUEST,
              "Invalid Request: a call with id " + clip(key) + " is under way"));
    }
    if (session.removeEarlyCancellation(key, context.loop().now())) {
      return Optional.of(new RejectionReason(Mcp.FAILED, "cancelled by the client"));
    }
    return Optional.empty();
  }

  private Optional<RejectionReason> checkLimits(
      McpSession session, Prompt prompt, boolean mayStream) {
    GatewaySettings settings = context.settings();
    if (prompt.tools().isPresent() && !mayStream) {
      return Optional.of(
          new RejectionReason(
              JsonRpc.INVALID_PARAMS,
              "/arguments/tools: tools need a client that accepts text/event-stream"));
    }
    if (context.isStopping().getAsBoolean()) {
      return Optional.of(new RejectionReason(Mcp.STOPPING, "the gateway is stopping"));
    }
    int maxCallsPerSession = settings.front().maxCallsPerSession();
    if (session.callCount() >= maxCallsPerSession) {
      return Optional.of(
          new RejectionReason(
              Mcp.LIMIT, "no more than " + maxCallsPerSession + " calls of a session at once"));
    }
    if (!context.calls().hasCapacity()) {
      return Optional.of(
          new RejectionReason(
              Mcp.LIMIT, "no more than " + settings.limits().maxCalls() + " calls at once"));
    }
    return Optional.empty();
  }

  private ObjectNode reject(JsonRpcMessage.Request request, Prompt prompt, RejectionReason reason) {
    if (reason.isRetryable()) {
      CallMetadata metadata = CallMetadata.of(request.params());
      context.calls().recordRejected(prompt, metadata.tenant(), metadata.clientRetry());
    }
    ObjectNode data = JsonNodeFactory.instance.objectNode().put("retryable", reason.isRetryable());
    return JsonRpc.error(request.id(), reason.code(), reason.message(), data);
  }

  /** Returns the error if an earlier call with the same idempotency key blocks this one. */
  private Optional<ObjectNode> checkDuplicate(JsonRpcMessage.Request request, Prompt prompt) {
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
