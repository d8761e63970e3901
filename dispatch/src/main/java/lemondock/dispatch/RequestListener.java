package lemondock.dispatch;

import java.util.Optional;

/**
 * Receives the output and the end of a submitted request. Exactly one of {@link #completed}, {@link
 * #interrupted}, {@link #rejected} and {@link #failed} is called, as the last call; after {@link
 * RequestDispatcher#cancelRequest} nothing more is called. Called on the loop thread, never while
 * the router handles an event; {@link #rejected} and {@link #failed} may be called before {@link
 * RequestDispatcher#submit} returns.
 *
 * @param <C> an event of the output stream
 */
public interface RequestListener<C extends StreamChunk> {
  /** An event of the output stream has arrived. */
  void chunk(C chunk);

  /**
   * The output to which plain text of the stream may be written without passing through the loop;
   * called once, after the first event. Empty if all text must be delivered as events.
   */
  default Optional<DirectOutput> directOutput() {
    return Optional.empty();
  }

  /** The answer is complete. */
  void completed();

  /** The stream was interrupted after its first event; {@code cause} is text for logs. */
  void interrupted(String cause);

  /**
   * The request was rejected and had no effect; a retry is safe.
   *
   * @param retryAfterMicros advised delay before a retry; 0 for no advice
   */
  void rejected(long retryAfterMicros);

  /** The request failed before its first event; an engine may have processed it. */
  void failed();
}
