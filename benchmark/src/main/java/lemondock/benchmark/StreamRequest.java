package lemondock.benchmark;

import java.util.Optional;

/**
 * A request for a stream.
 *
 * @param number spreads requests over the loops of a {@link StreamLoad}
 * @param port loopback port that it is sent to
 * @param session the session at a gateway; empty for an engine
 * @param hasTimestamps whether each word of the answer is the time at which it was sent
 */
record StreamRequest(
    int number, int port, Optional<String> session, byte[] body, boolean hasTimestamps) {
  static final String MCP_PATH = "/mcp";
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";

  /**
   * A call to a gateway.
   *
   * @param session null if the gateway rejected the session; the call then counts as a failure
   */
  static StreamRequest toGateway(int number, int port, String session, String prompt) {
    byte[] body = RequestBodies.call(number, prompt);
    return new StreamRequest(number, port, Optional.ofNullable(session), body, false);
  }

  /** A completion request to an engine, directly or through a byte relay. */
  static StreamRequest toEngine(int number, int port, String prompt) {
    byte[] body = RequestBodies.completion(prompt);
    return new StreamRequest(number, port, Optional.empty(), body, false);
  }

  /** Returns this request for a prompt that asks for timestamps. */
  StreamRequest withTimestamps() {
    return new StreamRequest(number, port, session, body, true);
  }

  String path() {
    return session.isPresent() ? MCP_PATH : COMPLETIONS_PATH;
  }

  /** The text that precedes each word of the answer in an event's data. */
  String wordPrefix() {
    return session.isPresent() ? "\"message\":\" " : "\"content\":\" ";
  }
}
