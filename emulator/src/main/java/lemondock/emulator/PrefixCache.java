package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** The prefixes that an engine has read, least recently used ones go first. Loop thread only. */
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

  /** Tokens up to the last message that is cached with all before it; less than the prompt's. */
  int cachedTokens(EngineRequest request) {
    int cachedTokens = 0;
    int chars = 0;
    long hash = 1;
    for (JsonNode message : request.messages()) {
      chars += EngineRequest.text(message).length();
      hash = extend(hash, message);
      if (prefixes.containsKey(hash)) {
        cachedTokens = EngineRequest.tokens(chars);
      }
    }
    return Math.min(cachedTokens, request.promptTokens() - 1);
  }

  void add(EngineRequest request) {
    long hash = 1;
    for (JsonNode message : request.messages()) {
      hash = extend(hash, message);
      prefixes.put(hash, true);
    }
  }

  private static long extend(long hash, JsonNode message) {
    return hash * HASH_FACTOR + EngineRequest.text(message).hashCode();
  }

  void clear() {
    prefixes.clear();
  }
}
