package lemondock.policy;

/** What an attempt's first token, or its end, indicates about the health of its server. */
enum AttemptVerdict {
  SUCCESS,
  FAILURE,
  /** The attempt ended for a reason that says nothing about the server's health. */
  NEUTRAL
}
