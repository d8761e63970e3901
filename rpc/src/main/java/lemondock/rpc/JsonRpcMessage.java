package lemondock.rpc;

import com.fasterxml.jackson.databind.JsonNode;

/** One JSON-RPC 2.0 message, or the reason why a text is not a message. */
public sealed interface JsonRpcMessage {
  /** A call that expects a response; the id is a string or an integer, params may be null. */
  record Request(JsonNode id, String method, JsonNode params) implements JsonRpcMessage {}

  /** A call that expects no response; params may be null. */
  record Notification(String method, JsonNode params) implements JsonRpcMessage {}

  /** The response to a request: either a result or an error; the other one is null. */
  record Response(JsonNode id, JsonNode result, JsonNode error) implements JsonRpcMessage {}

  /**
   * A text that is not a valid message.
   *
   * @param id the id to respond with, JSON null if no usable id could be read
   * @param code the error code to respond with
   * @param reason the error message to respond with
   */
  record Invalid(JsonNode id, int code, String reason) implements JsonRpcMessage {}
}
