package lemondock.faultinjection;

/** Whether a client's call may run more than once. */
enum CallEffect {
  /** Idempotent. */
  SAFE,
  /** Non-idempotent. */
  ONCE
}
