package lemondock.policy;

/**
 * Whether a class's requests are safe to repeat, safe within a group and window, or may run only
 * once.
 */
public enum Idempotency {
  IDEMPOTENT,
  IDEMPOTENCY_KEY,
  NON_IDEMPOTENT
}
