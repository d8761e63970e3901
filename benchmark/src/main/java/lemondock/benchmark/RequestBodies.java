package lemondock.benchmark;

import java.nio.charset.StandardCharsets;

/**
 * Bodies of the requests that benchmarks send. Prompts are not escaped: they must not contain
 * characters that JSON escapes.
 */
final class RequestBodies {
  /** The tool, which is also the request class, of calls that need no particular one. */
  static final String DEFAULT_TOOL = "sale-lookup";

  private RequestBodies() {}

  /** A request that opens a session at a gateway. */
  static byte[] initialize() {
    return bytes(
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":"
            + "{\"protocolVersion\":\"2025-06-18\"}}");
  }

  /** A call of {@link #DEFAULT_TOOL} of a gateway whose answer is streamed. */
  static byte[] call(int id, String prompt) {
    return call(id, DEFAULT_TOOL, prompt);
  }

  /** A call of the given tool of a gateway whose answer is streamed. */
  static byte[] call(int id, String tool, String prompt) {
    return bytes(
        "{\"jsonrpc\":\"2.0\",\"id\":"
            + id
            + ",\"method\":\"tools/call\",\"params\":{\"name\":\""
            + tool
            + "\","
            + "\"_meta\":{\"progressToken\":1},\"arguments\":{\"prompt\":\""
            + prompt
            + "\"}}}");
  }

  /** A call of a gateway's tool that offers the client's tool {@code stock} to the model. */
  static byte[] callWithTool(int id, String prompt) {
    return bytes(
        "{\"jsonrpc\":\"2.0\",\"id\":"
            + id
            + ",\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\","
            + "\"arguments\":{\"prompt\":\""
            + prompt
            + "\",\"tools\":[{\"name\":\"stock\",\"inputSchema\":{\"type\":\"object\"}}]}}}");
  }

  /** A request for a streamed completion of an engine. */
  static byte[] completion(String prompt) {
    return bytes(
        "{\"model\":\"m\",\"stream\":true,\"max_tokens\":1000000,\"messages\":[{\"role\":\"user\",\"content\":\""
            + prompt
            + "\"}]}");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
