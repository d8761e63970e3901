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

/** Messages of a client that get no response: notifications, and results of relayed tool calls. */
final class ClientMessageHandler {
  /** The log lines of the front end are under its own name. */
  private static final Logger LOG = LoggerFactory.getLogger(McpHttpHandler.class);

  private final Loop loop;

  ClientMessageHandler(Loop loop) {
    this.loop = loop;
  }

  /** Cancels a call; other notifications are ignored. */
  void handleNotification(McpSession session, JsonRpcMessage.Notification notification) {
    if (!notification.method().equals(Mcp.CANCELLED) || notification.params() == null) {
      return;
    }
    JsonNode id = notification.params().get("requestId");
    if (id == null) {
      return;
    }
    Optional<McpCall> call = session.call(id.toString());
    if (call.isPresent()) {
      call.get().call().cancel("the client cancelled");
      call.get().cancelled();
    } else {
      session.cancelledEarly(id.toString(), loop.now());
    }
  }

  /** Hands a result to the call that waits for it; what nobody waits for is logged and dropped. */
  void handleResponse(McpSession session, JsonRpcMessage.Response response) {
    Optional<McpSession.RelayedToolCall> relayed =
        response.id().isTextual()
            ? session.takeRelayedToolCall(response.id().textValue())
            : Optional.empty();
    boolean taken = relayed.isPresent() && deliver(relayed.get(), response);
    if (!taken) {
      LOG.atInfo()
          .addKeyValue("request", clip(response.id().toString()))
          .log("a response that nobody waits for (unknown, late or a repeat) was dropped");
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
