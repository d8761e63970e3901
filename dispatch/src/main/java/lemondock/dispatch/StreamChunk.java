package lemondock.dispatch;

/** One event of an engine's output stream, as far as the dispatcher reads it. */
public interface StreamChunk {
  /** Whether the engine has produced output with it; the first such event is the first token. */
  boolean hasOutput();

  /** Prompt tokens that the engine found cached, -1 if this event does not say. */
  int cachedTokens();
}
