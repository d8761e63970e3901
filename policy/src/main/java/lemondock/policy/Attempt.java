package lemondock.policy;

/** One attempt of a request at one server, from its sending to its end. Times in microseconds. */
final class Attempt {
  final ServerState server;
  final AttemptWork work;
  final long sentAtMicros;
  final long expectedMicros;

  /** Tokens of prompt and answer, in flight until the attempt ends. */
  final long tokens;

  /** Prompt tokens that the server was expected to read; 0 for a write. */
  final long uncachedTokens;

  /** All tokens to be read at the server once this attempt was sent, its own included. */
  long readQueueTokensAtSend;

  /** All tokens in flight at writers of this gateway once this attempt was sent. */
  long writeTokensInFlightAtSend;

  /** When the attempt counts as overdue; 0 where it is never cancelled for being slow. */
  long timeoutAtMicros;

  /** When the timeout was last extended because the server's queue moved. */
  long timeoutExtendedAtMicros;

  /** 0 while no token has come. */
  long timeToFirstTokenMicros;

  boolean ended;

  /** It took too long and was cancelled for it. */
  boolean timedOut;

  /**
   * It ended without what it was sent for; its server is avoided for the request's next attempt.
   */
  boolean failed;

  /** Its outcome proves that the server never worked on it. */
  boolean neverRan;

  Attempt(AttemptPlan plan, long sentAtMicros, long tokens) {
    this.server = plan.server();
    this.work = plan.work();
    this.sentAtMicros = sentAtMicros;
    this.expectedMicros = plan.expectedMicros();
    this.tokens = tokens;
    this.uncachedTokens = plan.uncachedTokens();
  }

  boolean reads() {
    return work.reads();
  }

  boolean writes() {
    return work.writes();
  }

  /** Whether older work has come back from the server since that moment: its queue moves. */
  boolean queueHasMovedSince(long sinceMicros) {
    return server.lastAnswerAtMicros > sinceMicros
        && server.newestAnsweredSentAtMicros <= sentAtMicros;
  }
}
