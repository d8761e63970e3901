package lemondock.policy;

/** The servers that drop repeats with a known idempotency key: all, one zone's, one cell's. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  CELL
}
