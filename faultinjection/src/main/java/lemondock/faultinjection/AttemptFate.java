package lemondock.faultinjection;

/** What became of an attempt at its server. */
enum AttemptFate {
  UNDER_WAY,
  /** A reader has read the prompt and reserved its state. */
  READ,
  /** A writer has taken the state: whatever the call does has happened. */
  RAN,
  /** Rejected by the server before it ran. */
  NOT_RUN,
  /** Given up because its connection ended. */
  DROPPED
}
