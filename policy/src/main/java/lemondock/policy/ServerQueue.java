package lemondock.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The attempts of this gateway that one server has not answered yet, and when the server last
 * answered. Written by {@link ServerModel}. Times in microseconds.
 */
final class ServerQueue {
  /** In the order of sending. */
  private final Set<Attempt> unanswered = new LinkedHashSet<>();

  private long readTokens;
  private long lastSuccessAtMicros;

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

  /** Whether work that is older than the attempt has been answered since that moment. */
  boolean hasMovedSince(long sinceMicros, Attempt attempt) {
    return lastSuccessAtMicros > sinceMicros
        && newestAnsweredSentAtMicros <= attempt.sentAtMicros();
  }
}
