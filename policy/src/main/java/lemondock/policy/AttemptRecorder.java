package lemondock.policy;

/**
 * Updates everything that is learned from attempts: tokens in flight, health and speed of servers,
 * the capacity limit, sticky sessions and cached text.
 */
final class AttemptRecorder {
  private final ServerModel servers;
  private final AdaptiveCapacityLimit capacity;
  private final SessionTable sessions;
  private final CachedPromptEstimator cachedPrompts;

  AttemptRecorder(
      ServerModel servers,
      AdaptiveCapacityLimit capacity,
      SessionTable sessions,
      CachedPromptEstimator cachedPrompts) {
    this.servers = servers;
    this.capacity = capacity;
    this.sessions = sessions;
    this.cachedPrompts = cachedPrompts;
  }

  /** Records the first token of an attempt's answer. */
  void recordFirstToken(InFlightRequest request, Attempt attempt, long timeToFirstTokenMicros) {
    attempt.recordFirstToken(timeToFirstTokenMicros);
    servers.recordAnswer(attempt, AttemptVerdict.SUCCESS);
    servers.latency().recordFirstToken(attempt, timeToFirstTokenMicros);
    capacity.recordFirstToken(request, attempt, timeToFirstTokenMicros);
    if (attempt.reads()) {
      sessions.recordRead(request.attributes(), attempt.server());
    }
  }

  /** Records the end of an attempt. */
  void recordEnd(InFlightRequest request, Attempt attempt, AttemptResult result) {
    AttemptOutcome outcome = result.outcome();
    attempt.end(outcome);
    request.attemptEnded(attempt);
    capacity.recordEnded(attempt);
    servers.recordAnswer(attempt, verdict(attempt, outcome));
    recordOutcome(request, attempt, result);
  }

  private static AttemptVerdict verdict(Attempt attempt, AttemptOutcome outcome) {
    return switch (outcome) {
      case PROMPT_READ, OK -> AttemptVerdict.SUCCESS;
      case REJECTED, ABANDONED_BEFORE_SEND -> AttemptVerdict.NEUTRAL;
      case CANCELLED -> attempt.hasTimedOut() ? AttemptVerdict.FAILURE : AttemptVerdict.NEUTRAL;
      default -> AttemptVerdict.FAILURE;
    };
  }

  private void recordOutcome(InFlightRequest request, Attempt attempt, AttemptResult result) {
    long uncachedTokens = Math.max(0, request.attributes().promptTokens() - result.cachedTokens());
    switch (result.outcome()) {
      case PROMPT_READ -> {
        recordUncached(request, attempt, uncachedTokens);
        long readTokens = uncachedTokens + ReaderSelector.READ_OVERHEAD_TOKENS;
        servers.latency().recordRead(attempt, readTokens, result.elapsedMicros());
        sessions.recordRead(request.attributes(), attempt.server());
      }
      case OK -> {
        recordUncached(request, attempt, uncachedTokens);
        servers.latency().recordStreamTime(request, attempt, result.elapsedMicros());
      }
      case REJECTED -> {
        if (!result.stateMissing()) {
          servers.latency().recordRejection(attempt.server());
          capacity.recordRejection(attempt);
        }
      }
      default -> {
        // Only the verdict counts, which the caller has recorded.
      }
    }
  }

  private void recordUncached(InFlightRequest request, Attempt attempt, long uncachedTokens) {
    if (attempt.reads()) {
      cachedPrompts.recordRead(request.attributes().classId(), uncachedTokens);
    }
  }
}
