package lemondock.policy;

/** Why a request was queued, retried, released or ended. Names appear in debug and count lines. */
public enum DecisionReason {
  /** Its deadline, or the end that a shutdown leaves it, has come. */
  DEADLINE_EXCEEDED,
  /** It could not end before this gateway may be killed. */
  SHUTTING_DOWN,
  /** It waited in the queue until another attempt would have been too late. */
  QUEUE_TIMEOUT,
  /** It waits in the queue for capacity, or for a reader that would be in time. */
  QUEUED,
  /** No reader may take it, or each would be too late. */
  NO_READER,
  /** No writer may take it. */
  NO_WRITER,
  /** Too few attempts are left for an answer. */
  ATTEMPTS_EXHAUSTED,
  /** Its client's time was over when an attempt ended. */
  CLIENT_TIMEOUT,
  /** The budget for retries is spent. */
  RETRY_BUDGET_EXHAUSTED,
  /** Another attempt follows one that did not end well. */
  RETRY,
  /** An attempt took far longer than it should and was cancelled. */
  ATTEMPT_TIMEOUT,
  /** A read took far longer than any of late, so that its answer is taken for lost. */
  READ_SUSPECTED,
  /** What readers hold, or may hold, was released. */
  STATE_RELEASED
}
