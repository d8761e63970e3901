package lemondock.policy;

/**
 * How an attempt ended. {@link #REJECTED}, {@link #CONNECT_FAILED} and {@link
 * #ABANDONED_BEFORE_SEND} prove that the server never worked on it.
 */
public enum AttemptOutcome {
  /** The answer is complete. */
  OK,
  /** The server failed while it worked on it, or its answer makes no sense. */
  ERROR,
  /** The server refused it before any work. */
  REJECTED,
  /** No answer came in time; the server may still work on it. */
  TIMEOUT,
  /** The server could not be reached. */
  CONNECT_FAILED,
  /** The connection was lost after the request was sent. */
  RESET,
  /** The router cancelled it. */
  CANCELLED,
  /** It was given up before anything of it was sent. */
  ABANDONED_BEFORE_SEND,
  /** A reader has read the prompt and holds its state, with nothing answered yet. */
  PROMPT_READ
}
