package lemondock.rpc;

import com.fasterxml.jackson.databind.JsonNode;

/** One JSON-RPC 2.0 message, or why a text is none. */
public sealed interface JsonRpcMessage {
  /** A call that wants a response; the id is a string or a number. */
  record Request(JsonNode id, String method, JsonNode params) implements JsonRpcMessage {}

  /** A call that wants no response; params may be null. */
  record Notification(String method, JsonNode params) implements JsonRpcMessage {}

  /** The answer to a call: a result or an error, the other being null. */
  record Response(JsonNode id, JsonNode result, JsonNode error) implements JsonRpcMessage {}

  /**
   * A text that is no message.
   *
   * @param id the id to respond with, JSON null if none could be read
   * @param code the error code to respond with
   * @param reason the error message to respond with
   */
  record Invalid(JsonNode id, int code, String reason) implements JsonRpcMessage {}
}
