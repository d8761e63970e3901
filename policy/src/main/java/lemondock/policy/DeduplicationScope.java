package lemondock.policy;

/** The servers that share their idempotency keys: each drops a repeat that any of them has seen. */
public enum DeduplicationScope {
  /** All servers. */
  ALL,
  /** The servers of one zone. */
  ZONE,
  /** The servers of one cell, a part of a zone. */
  CELL
}
