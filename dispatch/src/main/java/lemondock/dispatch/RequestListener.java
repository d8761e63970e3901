package lemondock.dispatch;

import java.util.Optional;

/**
 * Hears what becomes of a submitted request. Exactly one of {@link #completed}, {@link
 * #interrupted}, {@link #rejected} and {@link #failed} ends it, and nothing follows; a request that
 * was cancelled by {@link RequestDispatcher#cancelRequest} hears nothing more. Called on the loop
 * thread, never from within a call to the dispatcher.
 *
 * @param <C> an event of the output stream
 */
public interface RequestListener<C extends StreamChunk> {
  /** An event of the output stream. */
  void chunk(C chunk);

  /**
   * Where plain text of the running stream may be written without the loop; asked once, after the
   * first event. Empty if all of it has to come as events.
   */
  default Optional<DirectOutput> directOutput() {
    return Optional.empty();
  }

  /** The answer is complete. */
  void completed();

  /** The stream broke after its first event; the cause is for logs. */
  void interrupted(String cause);

  /**
   * The request was rejected and had no effect; a retry is safe.
   *
   * @param retryAfterMicros advice when to retry; 0 for none
   */
  void rejected(long retryAfterMicros);

  /** The request failed before its first event; an engine may have run it. */
  void failed();
}
