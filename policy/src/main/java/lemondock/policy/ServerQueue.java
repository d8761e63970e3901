package lemondock.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The attempts of this gateway that one server has not answered yet, and when the server last
 * answered. Written by {@link ServerModel} and {@link StateReleasePolicy} only. Times are in
 * microseconds.
 */
final class ServerQueue {
  /** In the order in which they were sent. */
  private final Set<Attempt> unanswered = new LinkedHashSet<>();

  private long readTokens;
  private long lastSuccessAtMicros;
  private long lastLostReadAtMicros;

  /** The latest send time of all attempts that were answered successfully. */
  private long newestAnsweredSentAtMicros;

  /** Adds an attempt that is being sent to the server. */
  void add(Attempt attempt) {
    unanswered.add(attempt);
    readTokens += attempt.readTokens();
    attempt.setReadQueueTokensAtSend(readTokens);
  }

  /**
   * Removes an attempt whose answer has begun or that has ended; returns false if it was already
   * removed.
   */
  boolean remove(Attempt attempt) {
    boolean removed = unanswered.remove(attempt);
    if (removed) {
      readTokens -= attempt.readTokens();
    }
    return removed;
  }

  /** Records that the server has answered the attempt successfully. */
  void recordSuccess(Attempt attempt, long nowMicros) {
    lastSuccessAtMicros = nowMicros;
    newestAnsweredSentAtMicros = Math.max(newestAnsweredSentAtMicros, attempt.sentAtMicros());
  }

  /** Records that a read at the server is suspected to be lost. */
  void recordLostRead(long nowMicros) {
    lastLostReadAtMicros = nowMicros;
  }

  /** Whether a read was suspected to be lost here and nothing has been answered since then. */
  boolean isSilent() {
    return lastLostReadAtMicros > lastSuccessAtMicros;
  }

  /** Whether the server has answered an attempt successfully after this time. */
  boolean hasAnsweredSince(long sinceMicros) {
    return lastSuccessAtMicros > sinceMicros;
  }

  /** When the server last answered an attempt successfully; 0 if it never did. */
  long lastSuccessAtMicros() {
    return lastSuccessAtMicros;
  }

  boolean isEmpty() {
    return unanswered.isEmpty();
  }

  /** Tokens that the server still has to read for the unanswered attempts, overhead included. */
  long readTokens() {
    return readTokens;
  }

  /**
   * How long the oldest unanswered attempt that no later one has overtaken has exceeded its
   * expected duration; 0 if it has not, or if there is no such attempt.
   */
  long excessMicros(long nowMicros) {
    for (Attempt attempt : unanswered) {
      if (attempt.sentAtMicros() > newestAnsweredSentAtMicros) {
        return Math.max(0, nowMicros - attempt.sentAtMicros() - attempt.expectedMicros());
      }
    }
    return 0;
  }

  /**
   * When the queue ahead of the attempt last made progress: when older work was last answered, or
   * the attempt's own send time if none has been answered since or if a later attempt has overtaken
   * it.
   */
  long lastProgressAtMicros(Attempt attempt) {
    return newestAnsweredSentAtMicros <= attempt.sentAtMicros()
        ? Math.max(attempt.sentAtMicros(), lastSuccessAtMicros)
        : attempt.sentAtMicros();
  }
}
