package lemondock.policy;

import java.util.EnumSet;
import java.util.Set;

/** One attempt of a request at one server, from the send to its end. Times are in microseconds. */
final class Attempt {
  private static final Set<AttemptOutcome> NEVER_RAN =
      EnumSet.of(
          AttemptOutcome.REJECTED,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.ABANDONED_BEFORE_SEND);

  private final ServerState server;
  private final AttemptWork work;
  private final long sentAtMicros;
  private final long expectedMicros;
  private final long tokens;
  private final long readTokens;

  // Written once, at the send: the first by ServerQueue, the second by AdaptiveCapacityLimit.
  private long readQueueTokensAtSend;
  private long writeTokensInFlightAtSend;

  // Written by AttemptTimeouts.
  private long timeoutAtMicros;
  private long timeoutExtendedAtMicros;
  private boolean timedOut;
  private long overdueAfterMicros;

  // Written by StateReleasePolicy.
  private boolean suspectedLost;

  // Written by AttemptRecorder.
  private long timeToFirstTokenMicros;
  private boolean ended;
  private boolean failed;
  private boolean neverRan;

  Attempt(AttemptPlan plan, long sentAtMicros, long tokens) {
    this.server = plan.server();
    this.work = plan.work();
    this.sentAtMicros = sentAtMicros;
    this.expectedMicros = plan.expectedMicros();
    this.tokens = tokens;
    this.readTokens = plan.readTokens();
  }

  ServerState server() {
    return server;
  }

  AttemptWork work() {
    return work;
  }

  boolean reads() {
    return work.reads();
  }

  boolean writes() {
    return work.writes();
  }

  long sentAtMicros() {
    return sentAtMicros;
  }

  /**
   * Expected time from the send to the answer; for a read, including the wait in the server's
   * queue.
   */
  long expectedMicros() {
    return expectedMicros;
  }

  /** Tokens of prompt and expected answer; they count as in flight until the attempt ends. */
  long tokens() {
    return tokens;
  }

  /**
   * Prompt tokens that the server is expected to read, plus the overhead of a read in tokens; 0 for
   * a write.
   */
  long readTokens() {
    return readTokens;
  }

  /** Tokens queued for reading at the server right after the send, including this attempt's. */
  long readQueueTokensAtSend() {
    return readQueueTokensAtSend;
  }

  void setReadQueueTokensAtSend(long queuedTokens) {
    readQueueTokensAtSend = queuedTokens;
  }

  /** Tokens that this gateway had in flight at writers right after the send. */
  long writeTokensInFlightAtSend() {
    return writeTokensInFlightAtSend;
  }

  void setWriteTokensInFlightAtSend(long inFlightTokens) {
    writeTokensInFlightAtSend = inFlightTokens;
  }

  /** When the attempt times out; 0 if it is never cancelled for being slow. */
  long timeoutAtMicros() {
    return timeoutAtMicros;
  }

  void setTimeoutAtMicros(long atMicros) {
    timeoutAtMicros = atMicros;
  }

  /** Notes that the timeout starts again now, because the server's queue makes progress. */
  void extendTimeout(long nowMicros) {
    timeoutExtendedAtMicros = nowMicros;
  }

  /** Whether the server has answered older work since the timeout last started. */
  boolean hasQueueProgressedSinceTimeoutStart() {
    return lastQueueProgressAtMicros() > Math.max(sentAtMicros, timeoutExtendedAtMicros);
  }

  /** When the server last answered any attempt with success; the send if that is later. */
  long lastServerAnswerAtMicros() {
    return Math.max(sentAtMicros, server.queue().lastSuccessAtMicros());
  }

  /**
   * When the server last answered work older than this attempt; the send if that is later, or if a
   * newer attempt has been answered before this one.
   */
  long lastQueueProgressAtMicros() {
    return server.queue().lastProgressAtMicros(this);
  }

  /** Time without an answer to this read or to older work after which the read is overdue. */
  long overdueAfterMicros() {
    return overdueAfterMicros;
  }

  void setOverdueAfterMicros(long delayMicros) {
    overdueAfterMicros = delayMicros;
  }

  /** Whether the attempt was cancelled because it took too long. */
  boolean hasTimedOut() {
    return timedOut;
  }

  void markTimedOut() {
    timedOut = true;
  }

  /**
   * Whether the read's answer was suspected to be lost, and the state that the read may have left
   * was released.
   */
  boolean isSuspectedLost() {
    return suspectedLost;
  }

  void markSuspectedLost() {
    suspectedLost = true;
  }

  /** Time from the send to the first token; 0 until the first token has come. */
  long timeToFirstTokenMicros() {
    return timeToFirstTokenMicros;
  }

  boolean hasFirstToken() {
    return timeToFirstTokenMicros > 0;
  }

  /** Records the first token; a time below 1 counts as 1, because 0 means none has come. */
  void recordFirstToken(long elapsedMicros) {
    timeToFirstTokenMicros = Math.max(1, elapsedMicros);
  }

  boolean hasEnded() {
    return ended;
  }

  /** Marks the attempt as ended with this outcome. */
  void end(AttemptOutcome outcome) {
    ended = true;
    neverRan = NEVER_RAN.contains(outcome);
    failed = outcome != AttemptOutcome.PROMPT_READ && !(timedOut && !writes());
  }

  /**
   * Whether the request's next attempts should avoid the server of this one, because it ended with
   * anything but {@link AttemptOutcome#PROMPT_READ}. A read that was cancelled for being slow does
   * not count.
   */
  boolean hasFailed() {
    return failed;
  }

  /** Whether the outcome proves that the server never worked on the attempt. */
  boolean neverRan() {
    return neverRan;
  }
}
