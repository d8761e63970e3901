package lemondock.faultinjection;

/** How a call ended, as its client saw it. */
enum CallOutcome {
  /** Not ended in time to be known. */
  OPEN,
  /** A complete stream. */
  SERVED,
  /** Status 429 or 503. */
  REFUSED,
  /** Any other status. */
  FAILED,
  /** A stream that broke off. */
  BROKEN,
  /** A stream that ended properly and yet is not complete. */
  CUT_SHORT,
  /** The connection ended with no answer. */
  UNANSWERED,
  /** The client left. */
  LEFT,
  /**
   * The request could not be written, or crossed the close of an idle connection; a real client
   * sends it once more.
   */
  NOT_TAKEN
}
