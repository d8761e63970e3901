package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** An engine's cache of prefilled prefixes, with LRU eviction. Loop thread only. */
final class PrefixCache {
  private static final int MAX_PREFIXES = 4_096;
  private static final long HASH_FACTOR = 1_000_003;

  private final Map<Long, Boolean> prefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  /**
   * Returns the number of tokens in the longest cached prefix, at most all but one of the prompt's
   * tokens. A prefix ends at the end of a message.
   */
  int cachedTokens(EngineRequest request) {
    int cachedTokens = 0;
    int chars = 0;
    long hash = 1;
    for (JsonNode message : request.messages()) {
      chars += EngineRequest.text(message).length();
      hash = extendHash(hash, message);
      if (prefixes.containsKey(hash)) {
        cachedTokens = EngineRequest.tokens(chars);
      }
    }
    return Math.min(cachedTokens, request.promptTokens() - 1);
  }

  void add(EngineRequest request) {
    long hash = 1;
    for (JsonNode message : request.messages()) {
      hash = extendHash(hash, message);
      prefixes.put(hash, true);
    }
  }

  private static long extendHash(long hash, JsonNode message) {
    return hash * HASH_FACTOR + EngineRequest.text(message).hashCode();
  }

  void clear() {
    prefixes.clear();
  }
}
