package lemondock.policy;

/**
 * How an attempt ended. FULL, CONNECT_FAILED and MOOT prove that it never ran; READ means that a
 * reader has read the prompt and keeps its state, with nothing answered.
 */
public enum AttemptOutcome {
  OK,
  ERROR,
  FULL,
  TIMEOUT,
  CONNECT_FAILED,
  RESET,
  CANCELLED,
  MOOT,
  READ
}
