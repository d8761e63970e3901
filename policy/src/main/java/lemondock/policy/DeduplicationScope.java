package lemondock.policy;

/** The servers that drop the repeats of a keyed request: all of them, one zone's, one cell's. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  CELL
}
