package lemondock.emulator;

/** Counts the tokens in an engine's memory: those of its requests and of its reserved states. */
final class EngineMemory {
  private final long capacityTokens;
  private long usedTokens;

  EngineMemory(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  boolean fits(int tokens) {
    return usedTokens + tokens <= capacityTokens;
  }

  /** Allocates tokens, even beyond the capacity. */
  void allocate(int tokens) {
    usedTokens += tokens;
  }

  void free(int tokens) {
    usedTokens -= tokens;
  }

  long usedTokens() {
    return usedTokens;
  }
}
