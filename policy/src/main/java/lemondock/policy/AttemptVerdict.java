package lemondock.policy;

/** What an attempt's first answer, or its end, says of its server. */
enum AttemptVerdict {
  SUCCESS,
  FAILURE,
  /** The end has another cause than the server. */
  NEUTRAL
}
