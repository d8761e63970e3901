package lemondock.benchmark;

import java.util.Optional;

/**
 * A stream to begin.
 *
 * @param number spreads requests over the loops of a {@link StreamLoad}
 * @param port where it goes on loopback
 * @param session the session at a gateway; empty if it goes to an engine
 * @param hasTimestamps whether each word of the answer is the moment at which it was sent
 */
record StreamRequest(
    int number, int port, Optional<String> session, byte[] body, boolean hasTimestamps) {
  static final String MCP_PATH = "/mcp";
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";

  /**
   * A call over a gateway.
   *
   * @param session null if the gateway rejected the session; then the call fails and is counted so
   */
  static StreamRequest toGateway(int number, int port, String session, String prompt) {
    byte[] body = RequestBodies.call(number, prompt);
    return new StreamRequest(number, port, Optional.ofNullable(session), body, false);
  }

  /** The same prompt straight to an engine, or over a relay that knows no protocol. */
  static StreamRequest toEngine(int number, int port, String prompt) {
    byte[] body = RequestBodies.completion(prompt);
    return new StreamRequest(number, port, Optional.empty(), body, false);
  }

  /** The same for a prompt that asks for timestamps. */
  StreamRequest withTimestamps() {
    return new StreamRequest(number, port, session, body, true);
  }

  String path() {
    return session.isPresent() ? MCP_PATH : COMPLETIONS_PATH;
  }

  /** What stands before each word of the answer in an event's data. */
  String wordPrefix() {
    return session.isPresent() ? "\"message\":\" " : "\"content\":\" ";
  }
}
