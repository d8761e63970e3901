package lemondock.emulator;

/** Tokens that an engine holds: of running and waiting requests and of reserved states. */
final class EngineMemory {
  private final long capacityTokens;
  private long usedTokens;

  EngineMemory(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  boolean fits(int tokens) {
    return usedTokens + tokens <= capacityTokens;
  }

  /** Takes tokens, also more than fit. */
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
