package lemondock.policy;

/** Whether requests of a class may be repeated. */
public enum Idempotency {
  /** They may always be repeated. */
  IDEMPOTENT,
  /** They may be repeated with the same idempotency key, within the class's scope and window. */
  IDEMPOTENCY_KEY,
  /** They may not be repeated once an attempt may have run. */
  NON_IDEMPOTENT
}
