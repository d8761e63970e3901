package lemondock.policy;

import java.util.EnumSet;
import java.util.Set;

/** One attempt of a request at one server, from its sending to its end. Times in microseconds. */
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
  private final long uncachedTokens;

  // Written once, as it is sent: by ServerQueue, and by AdaptiveCapacityLimit.
  private long readQueueTokensAtSend;
  private long writeTokensInFlightAtSend;

  // Written by AttemptTimeouts.
  private long timeoutAtMicros;
  private long timeoutExtendedAtMicros;
  private boolean timedOut;
  private long overdueAfterMicros;

  // Written by StateReleasePolicy.
  private boolean suspected;

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
    this.uncachedTokens = plan.uncachedTokens();
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

  /** What it should take until it is answered. */
  long expectedMicros() {
    return expectedMicros;
  }

  /** Tokens of prompt and answer, in flight until the attempt ends. */
  long tokens() {
    return tokens;
  }

  /** Prompt tokens that the server was expected to read; 0 for a write. */
  long uncachedTokens() {
    return uncachedTokens;
  }

  /** All tokens to be read at the server once this attempt was sent, its own included. */
  long readQueueTokensAtSend() {
    return readQueueTokensAtSend;
  }

  void setReadQueueTokensAtSend(long queuedTokens) {
    readQueueTokensAtSend = queuedTokens;
  }

  /** All tokens in flight at writers of this gateway once this attempt was sent. */
  long writeTokensInFlightAtSend() {
    return writeTokensInFlightAtSend;
  }

  void setWriteTokensInFlightAtSend(long inFlightTokens) {
    writeTokensInFlightAtSend = inFlightTokens;
  }

  /** When the attempt counts as overdue; 0 where it is never cancelled for being slow. */
  long timeoutAtMicros() {
    return timeoutAtMicros;
  }

  void setTimeoutAt(long micros) {
    timeoutAtMicros = micros;
  }

  /** The server's queue moves, so that the attempt is given more time from now on. */
  void extendTimeout(long nowMicros) {
    timeoutExtendedAtMicros = nowMicros;
  }

  /** Whether the server's queue has moved since the attempt was last given time. */
  boolean queueHasMovedSinceTimeoutStarted() {
    return queueUnmovedSinceMicros() > Math.max(sentAtMicros, timeoutExtendedAtMicros);
  }

  /** Since when nothing has come back from the server; its sending if nothing has at all. */
  long serverSilentSinceMicros() {
    return Math.max(sentAtMicros, server.queue().lastSuccessAtMicros());
  }

  /** Since when no older work has come back from the server; its sending if none has at all. */
  long queueUnmovedSinceMicros() {
    return server.queue().unmovedSinceMicros(this);
  }

  /** Time after which the read is overdue if nothing older comes back from its server. */
  long overdueAfterMicros() {
    return overdueAfterMicros;
  }

  void setOverdueAfter(long micros) {
    overdueAfterMicros = micros;
  }

  /** Whether it took too long and was cancelled for it. */
  boolean timedOut() {
    return timedOut;
  }

  void markTimedOut() {
    timedOut = true;
  }

  /** Whether its answer was taken for lost, and what it may have left was released. */
  boolean suspected() {
    return suspected;
  }

  void markSuspected() {
    suspected = true;
  }

  /** Time from its sending to its first token; 0 while none has come. */
  long timeToFirstTokenMicros() {
    return timeToFirstTokenMicros;
  }

  boolean hasFirstToken() {
    return timeToFirstTokenMicros > 0;
  }

  /** The answer has begun after that time. */
  void recordFirstToken(long elapsedMicros) {
    timeToFirstTokenMicros = Math.max(1, elapsedMicros);
  }

  boolean ended() {
    return ended;
  }

  /** It has ended with that outcome. */
  void end(AttemptOutcome outcome) {
    ended = true;
    neverRan = NEVER_RAN.contains(outcome);
    failed = outcome != AttemptOutcome.PROMPT_READ && !(timedOut && !writes());
  }

  /**
   * Whether it ended without what it was sent for: its server is avoided for the request's next
   * attempt. A read that was cancelled for being slow does not count.
   */
  boolean failed() {
    return failed;
  }

  /** Whether its outcome proves that the server never worked on it. */
  boolean neverRan() {
    return neverRan;
  }
}
