package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** An engine's reply to a prefill that it did not reject. */
public sealed interface PrefillReply {
  /**
   * The prefill is complete.
   *
   * @param transferParams identifies the reserved state to the decode engine
   * @param cachedTokens prompt tokens that the engine found cached; 0 if it does not report them
   */
  record Completed(JsonNode transferParams, int cachedTokens) implements PrefillReply {}

  /** The reply is malformed; {@code problem} is text for logs. */
  record Malformed(String problem) implements PrefillReply {}
}
