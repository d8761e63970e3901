package lemondock.policy;

/**
 * Whether requests of a class may be repeated: always, with the same idempotency key within a scope
 * and window, or never once they may have run.
 */
public enum Idempotency {
  IDEMPOTENT,
  IDEMPOTENCY_KEY,
  NON_IDEMPOTENT
}
