package lemondock.policy;

/** The servers that drop a repeat of what one of them has had under the same idempotency key. */
public enum DeduplicationScope {
  /** All servers. */
  ALL,
  /** The servers of the zone. */
  ZONE,
  /** The servers of the cell. */
  CELL
}
