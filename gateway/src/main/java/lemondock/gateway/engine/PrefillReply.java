package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** An engine's reply to a prefill that it did not reject. */
public sealed interface PrefillReply {
  /**
   * The prompt was read.
   *
   * @param transfer names the reserved state to the decode engine
   * @param cachedTokens prompt tokens that the engine found cached, 0 if it does not say
   */
  record Completed(JsonNode transfer, int cachedTokens) implements PrefillReply {}

  /** The reply cannot be used. */
  record Malformed(String problem) implements PrefillReply {}
}
