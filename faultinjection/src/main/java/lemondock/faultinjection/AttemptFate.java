package lemondock.faultinjection;

/** How far an attempt got at its server, or how it ended there. */
enum AttemptFate {
  UNDER_WAY,
  /** A reader has finished the prefill and reserved the state. */
  READ,
  /** A writer has taken the state, so the effect of the call has happened. */
  RAN,
  /** Rejected by the server before it ran. */
  NOT_RUN,
  /** Abandoned by the server because the connection closed. */
  DROPPED
}
