package lemondock.policy;

import java.util.Optional;

/**
 * Whether and where a request may be attempted again. Guards rule 2, no effect twice, in {@link
 * #mayRepeat}.
 */
final class RetryPolicy {
  private final int maxAttempts;
  private final long timerResolutionMicros;
  private final DecisionClock clock;
  private final RetryTokenBucket budget = new RetryTokenBucket();

  RetryPolicy(RouterSettings settings, DecisionClock clock) {
    this.maxAttempts = settings.limits().maxAttempts();
    this.timerResolutionMicros = settings.timerResolutionMicros();
    this.clock = clock;
  }

  /** A request has arrived; it earns its part of the retry budget. */
  void recordArrival() {
    budget.earn();
  }

  /** Whether the budget holds a whole retry. */
  boolean hasBudget() {
    return budget.holdsRetry();
  }

  /**
   * Rule 2: whether an attempt at this server could be a second effect. A plain read has none, so a
   * request whose writes all provably never ran may go anywhere.
   */
  boolean mayRepeat(InFlightRequest request, ServerState server) {
    RequestClass requestClass = request.requestClass();
    Idempotency idempotency = requestClass.idempotency();
    if (request.possibleEffect().isEmpty() || idempotency == Idempotency.IDEMPOTENT) {
      return true;
    }
    Attempt first = request.possibleEffect().get();
    return idempotency == Idempotency.IDEMPOTENCY_KEY
        && isInDeduplicationScope(requestClass, first.server().entry(), server.entry())
        && isInDeduplicationWindow(requestClass, first);
  }

  private static boolean isInDeduplicationScope(
      RequestClass requestClass, ServerEntry first, ServerEntry server) {
    return switch (requestClass.deduplicationScope()) {
      case ALL -> true;
      case ZONE -> first.zone() == server.zone();
      case CELL -> first.cell() == server.cell();
    };
  }

  private boolean isInDeduplicationWindow(RequestClass requestClass, Attempt first) {
    long ageMicros = clock.nowMicros() - first.sentAtMicros();
    return ageMicros < requestClass.deduplicationWindowMicros() - timerResolutionMicros;
  }

  /** A write that may not simply be repeated; it is never cancelled for being slow. */
  static boolean isNonRepeatableWrite(InFlightRequest request, Attempt attempt) {
    return attempt.writes() && request.requestClass().idempotency() != Idempotency.IDEMPOTENT;
  }

  /**
   * Whether the state is likely gone after this write, so that the prompt is read anew (then cheap)
   * where enough attempts are left.
   */
  boolean mayHaveConsumedState(InFlightRequest request, Attempt write) {
    return write.writes()
        && !write.neverRan()
        && !isNonRepeatableWrite(request, write)
        && attemptsLeft(request) > 1;
  }

  /** Whether too few attempts are left to reach an answer: a read and a write, or a write alone. */
  boolean attemptsExhausted(InFlightRequest request) {
    int needed = request.stateHolder().isEmpty() ? 2 : 1;
    return attemptsLeft(request) < needed;
  }

  private int attemptsLeft(InFlightRequest request) {
    return maxAttempts - request.attemptCount();
  }

  /**
   * Takes a further attempt, a retry from the budget, and says why if there may be none.
   *
   * @param retry whether an earlier attempt did not do what it was sent for; a write that follows
   *     its read is none
   */
  Optional<DecisionReason> takeFurtherAttempt(InFlightRequest request, boolean retry) {
    if (retry) {
      budget.spend();
    }
    Optional<DecisionReason> refusal = whyNoFurtherAttempt(request, retry);
    if (refusal.isPresent()) {
      budget.forgiveDebt();
    }
    return refusal;
  }

  private Optional<DecisionReason> whyNoFurtherAttempt(InFlightRequest request, boolean retry) {
    long ageMicros = clock.nowMicros() - request.arrivedAtMicros();
    if (ageMicros >= request.attributes().clientTimeoutMicros()) {
      return Optional.of(DecisionReason.CLIENT_TIMEOUT);
    }
    if (attemptsExhausted(request)) {
      return Optional.of(DecisionReason.ATTEMPTS_EXHAUSTED);
    }
    return retry && budget.isOverdrawn()
        ? Optional.of(DecisionReason.RETRY_BUDGET_EXHAUSTED)
        : Optional.empty();
  }
}
