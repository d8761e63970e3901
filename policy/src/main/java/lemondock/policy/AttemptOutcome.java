package lemondock.policy;

/**
 * How an attempt ended. REJECTED, CONNECT_FAILED and ABANDONED_BEFORE_SEND prove that it never ran;
 * PROMPT_READ means that a reader has read the prompt and keeps its state, with nothing answered.
 */
public enum AttemptOutcome {
  OK,
  ERROR,
  REJECTED,
  TIMEOUT,
  CONNECT_FAILED,
  RESET,
  CANCELLED,
  ABANDONED_BEFORE_SEND,
  PROMPT_READ
}
