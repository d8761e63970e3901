package lemondock.dispatch;

/** One event of a writer's stream, as far as the ledger cares. */
public interface StreamChunk {
  /** Whether the engine has produced something with it: the first such one begins the answer. */
  boolean carries();

  /** Prompt tokens found kept, -1 if not told here. */
  int cachedTokens();
}
