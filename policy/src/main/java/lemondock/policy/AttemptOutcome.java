package lemondock.policy;

/**
 * How an attempt ended. {@link #REJECTED}, {@link #CONNECT_FAILED} and {@link
 * #ABANDONED_BEFORE_SEND} prove that the server never worked on the attempt, so that a retry is
 * safe.
 */
public enum AttemptOutcome {
  /** The answer is complete. */
  OK,
  /** The server failed while it worked on the attempt, or its answer is invalid. */
  ERROR,
  /** The server rejected the attempt before it did any work. */
  REJECTED,
  /** No answer came in time; the server may still work on the attempt. */
  TIMEOUT,
  /** The server could not be reached. */
  CONNECT_FAILED,
  /** The connection was lost after the request was sent. */
  RESET,
  /** The router cancelled the attempt. */
  CANCELLED,
  /** The attempt was abandoned before any byte of it was sent. */
  ABANDONED_BEFORE_SEND,
  /** A reader has read the prompt and holds its state; no part of the answer exists yet. */
  PROMPT_READ
}
