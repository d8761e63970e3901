package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import lemondock.gateway.core.ToolResultReader;
import lemondock.net.Loop;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the messages of a client that get no response: notifications, and the results of relayed
 * tool calls. Loop thread only.
 */
final class ClientMessageHandler {
  /** All log lines of the front end use the logger of {@link McpHttpHandler}. */
  private static final Logger LOG = LoggerFactory.getLogger(McpHttpHandler.class);

  private final Loop loop;

  ClientMessageHandler(Loop loop) {
    this.loop = loop;
  }

  /** Cancels the call that a cancellation names; ignores other notifications. */
  void handleNotification(McpSession session, JsonRpcMessage.Notification notification) {
    if (!notification.method().equals(Mcp.CANCELLED) || notification.params() == null) {
      return;
    }
    JsonNode id = notification.params().get("requestId");
    if (id == null) {
      return;
    }
    Optional<McpCall> call = session.findCall(id.toString());
    if (call.isPresent()) {
      call.get().call().cancel("the client cancelled");
      call.get().reportCancelled();
    } else {
      session.recordEarlyCancellation(id.toString(), loop.now());
    }
  }

  /** Passes a result to the call that waits for it; logs and drops it if there is none. */
  void handleResponse(McpSession session, JsonRpcMessage.Response response) {
    Optional<McpSession.RelayedToolCall> relayed =
        response.id().isTextual()
            ? session.removeRelayedToolCall(response.id().textValue())
            : Optional.empty();
    boolean delivered = relayed.isPresent() && deliver(relayed.get(), response);
    if (!delivered) {
      LOG.atInfo()
          .addKeyValue("request", clip(response.id().toString()))
          .log("dropped a response that no tool call waits for (unknown id, late or duplicate)");
    }
  }

  private static boolean deliver(
      McpSession.RelayedToolCall relayed, JsonRpcMessage.Response response) {
    return relayed
        .call()
        .receiveToolResult(
            relayed.toolCallId(), ToolResultReader.read(response.result(), response.error()));
  }
}
