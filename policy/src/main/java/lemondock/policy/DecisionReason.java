package lemondock.policy;

/**
 * Why a request was queued, retried or ended, or its state released. The constants' names appear in
 * debug output and as counters.
 */
public enum DecisionReason {
  /** The request's deadline has passed, or the earlier one that a shutdown sets. */
  DEADLINE_EXCEEDED,
  /** The request might not end before this gateway may be killed. */
  SHUTTING_DOWN,
  /** The request reached its longest wait in the queue. */
  QUEUE_TIMEOUT,
  /** The request was queued, for capacity or for a reader that can be in time. */
  QUEUED,
  /** A further attempt found no reader that may take the request, or each would be too late. */
  NO_READER,
  /** No writer may take the request. */
  NO_WRITER,
  /** Too few attempts are left to reach an answer. */
  ATTEMPTS_EXHAUSTED,
  /** The client's timeout had passed when an attempt ended. */
  CLIENT_TIMEOUT,
  /** The retry budget is exhausted. */
  RETRY_BUDGET_EXHAUSTED,
  /** A further attempt follows one that did not succeed. */
  RETRY,
  /** An attempt took far longer than expected and was cancelled. */
  ATTEMPT_TIMEOUT,
  /**
   * A read is overdue, or its server has been silent for too long: its answer is suspected to be
   * lost.
   */
  READ_SUSPECTED,
  /** The state that readers hold, or may hold, for the request was released. */
  STATE_RELEASED
}
