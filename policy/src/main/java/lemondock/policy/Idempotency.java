package lemondock.policy;

/** Whether requests of a class may be repeated. */
public enum Idempotency {
  /** Always. */
  IDEMPOTENT,
  /** With the same idempotency key, within the class's scope and window. */
  IDEMPOTENCY_KEY,
  /** Never once they may have run. */
  NON_IDEMPOTENT
}
