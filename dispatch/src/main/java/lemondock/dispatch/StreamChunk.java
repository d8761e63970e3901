package lemondock.dispatch;

/** The part of an event of an engine's output stream that the dispatcher needs. */
public interface StreamChunk {
  /** Whether the event carries output; the first such event of a stream is the first token. */
  boolean hasOutput();

  /** Number of prompt tokens that the engine found cached; -1 if the event does not contain it. */
  int cachedTokens();
}
