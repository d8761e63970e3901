package lemondock.policy;

import java.util.Optional;

/**
 * Decides whether, where and until when a request may be retried. Enforces rule 2, no effect twice,
 * in {@link #mayRepeat} and {@link #latestSendMicros}.
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

  /** Records the arrival of a request, which adds its share to the retry budget. */
  void recordArrival() {
    budget.addRequestShare();
  }

  /** Whether the budget allows at least one retry. */
  boolean hasBudget() {
    return budget.hasToken();
  }

  /**
   * Whether an attempt at this server cannot cause a second effect (rule 2). A plain read has no
   * effect, so a request whose writes all provably never ran may be sent to any server.
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
        && clock.nowMicros() < deduplicationEndMicros(requestClass, first);
  }

  private static boolean isInDeduplicationScope(
      RequestClass requestClass, ServerEntry first, ServerEntry server) {
    return switch (requestClass.deduplicationScope()) {
      case ALL -> true;
      case ZONE -> first.zone() == server.zone();
      case CELL -> first.cell() == server.cell();
    };
  }

  /**
   * Latest time at which the last byte of the request's next attempt may be sent without a second
   * effect (rule 2). {@link #mayRepeat} holds at the decision, but connecting, a full socket or a
   * delay of the process can separate the decision from the write.
   */
  long latestSendMicros(InFlightRequest request, AttemptWork work) {
    RequestClass requestClass = request.requestClass();
    if (!work.writes() || requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
      return RouterHost.NO_SEND_LIMIT;
    }
    return request
        .possibleEffect()
        .map(first -> deduplicationEndMicros(requestClass, first))
        .orElse(RouterHost.NO_SEND_LIMIT);
  }

  private long deduplicationEndMicros(RequestClass requestClass, Attempt first) {
    return first.sentAtMicros() + requestClass.deduplicationWindowMicros() - timerResolutionMicros;
  }

  /**
   * Whether the attempt is a write that may not be repeated freely. Such a write is never cancelled
   * for being slow.
   */
  static boolean isNonRepeatableWrite(InFlightRequest request, Attempt attempt) {
    return attempt.writes() && request.requestClass().idempotency() != Idempotency.IDEMPOTENT;
  }

  /**
   * Whether the prompt should be read again after this attempt: it is a write that has probably
   * consumed the state, and enough attempts are left for a read and a write. Another read is cheap
   * then.
   */
  boolean shouldReadAgain(InFlightRequest request, Attempt attempt) {
    return attempt.writes()
        && !attempt.neverRan()
        && !isNonRepeatableWrite(request, attempt)
        && attemptsLeft(request) > 1;
  }

  /** Whether fewer attempts are left than an answer needs: a read and a write, or a write alone. */
  boolean attemptsExhausted(InFlightRequest request) {
    int needed = request.stateHolder().isEmpty() ? 2 : 1;
    return attemptsLeft(request) < needed;
  }

  private int attemptsLeft(InFlightRequest request) {
    return maxAttempts - request.attemptCount();
  }

  /**
   * Asks for a further attempt, which takes a token of the budget if it is a retry. Returns the
   * reason for the refusal, or empty if the attempt is allowed.
   *
   * @param retry whether the previous attempt did not succeed; a write that follows its read is no
   *     retry
   */
  Optional<DecisionReason> requestFurtherAttempt(InFlightRequest request, boolean retry) {
    if (retry) {
      budget.takeToken();
    }
    Optional<DecisionReason> refusal = findRefusalReason(request, retry);
    if (refusal.isPresent()) {
      budget.clearDebt();
    }
    return refusal;
  }

  private Optional<DecisionReason> findRefusalReason(InFlightRequest request, boolean retry) {
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
