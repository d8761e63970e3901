package lemondock.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The attempts of this gateway that one server has not answered yet, and when the server last
 * answered. Written by {@link ServerModel} and {@link StateReleasePolicy}. Times in microseconds.
 */
final class ServerQueue {
  /** In the order of sending. */
  private final Set<Attempt> unanswered = new LinkedHashSet<>();

  private long readTokens;
  private long lastSuccessAtMicros;
  private long lastLostReadAtMicros;

  /** Of all attempts answered well, the latest sending. */
  private long newestAnsweredSentAtMicros;

  /** An attempt goes to the server. */
  void add(Attempt attempt) {
    unanswered.add(attempt);
    readTokens += attempt.uncachedTokens();
    attempt.setReadQueueTokensAtSend(readTokens);
  }

  /** The attempt's answer has begun, or it has ended; false if it was answered before. */
  boolean remove(Attempt attempt) {
    boolean first = unanswered.remove(attempt);
    if (first) {
      readTokens -= attempt.uncachedTokens();
    }
    return first;
  }

  /** The server has answered the attempt well. */
  void recordSuccess(Attempt attempt, long nowMicros) {
    lastSuccessAtMicros = nowMicros;
    newestAnsweredSentAtMicros = Math.max(newestAnsweredSentAtMicros, attempt.sentAtMicros());
  }

  /** A read here was taken for lost. */
  void recordLostRead(long nowMicros) {
    lastLostReadAtMicros = nowMicros;
  }

  /** Whether a read was lost here, and nothing was answered since. */
  boolean isSilent() {
    return lastLostReadAtMicros > lastSuccessAtMicros;
  }

  /** Whether the server has answered an attempt well since that moment. */
  boolean hasAnsweredSince(long sinceMicros) {
    return lastSuccessAtMicros > sinceMicros;
  }

  /** When the server last answered an attempt well. */
  long lastSuccessAtMicros() {
    return lastSuccessAtMicros;
  }

  boolean isEmpty() {
    return unanswered.isEmpty();
  }

  /** Tokens that the server was sent to read and has not answered. */
  long readTokens() {
    return readTokens;
  }

  /**
   * How long the oldest attempt that no later one has overtaken is out beyond the time that it
   * should take; 0 if there is none, or none so late.
   */
  long overdueMicros(long nowMicros) {
    for (Attempt attempt : unanswered) {
      if (attempt.sentAtMicros() > newestAnsweredSentAtMicros) {
        return Math.max(0, nowMicros - attempt.sentAtMicros() - attempt.expectedMicros());
      }
    }
    return 0;
  }

  /**
   * When work that is older than the attempt was last answered: since then the queue before it has
   * not moved. Its sending if there was none since, or if a later attempt has overtaken it.
   */
  long unmovedSinceMicros(Attempt attempt) {
    return newestAnsweredSentAtMicros <= attempt.sentAtMicros()
        ? Math.max(attempt.sentAtMicros(), lastSuccessAtMicros)
        : attempt.sentAtMicros();
  }
}
