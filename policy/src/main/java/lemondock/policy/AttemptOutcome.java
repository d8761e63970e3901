package lemondock.policy;

/**
 * How an attempt ended. {@link #REJECTED}, {@link #CONNECT_FAILED} and {@link
 * #ABANDONED_BEFORE_SEND} prove that the server never worked on it; {@link #PROMPT_READ} means that
 * a reader has read the prompt and holds its state, with nothing answered yet.
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
