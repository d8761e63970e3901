package lemondock.faultinjection;

/** How a call ended, as its client saw it. */
enum CallOutcome {
  /** No answer yet, or none by the time at which the client gave up waiting. */
  OPEN,
  /** A complete stream. */
  SERVED,
  /** Status 429 or 503. */
  REFUSED,
  /** Any other status. */
  FAILED,
  /** A stream that broke off with an error before its end. */
  BROKEN,
  /** A stream that ended without an error but lacks its final event. */
  CUT_SHORT,
  /** The connection closed without an answer. */
  UNANSWERED,
  /** The client disconnected before the answer was complete. */
  LEFT,
  /**
   * The request could not be written, or was sent while the gateway closed the idle connection; a
   * real client would send it again.
   */
  NOT_TAKEN
}
