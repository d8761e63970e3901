package lemondock.policy;

/** What an endpoint list event contains. */
public enum EndpointListKind {
  /** Only the servers that have changed. */
  CHANGES,
  /** All servers. */
  FULL_LIST,
  /** All servers, from the list that was cached before a restart. */
  CACHED,
  /** Nothing: fetching the list failed. */
  FAILED
}
