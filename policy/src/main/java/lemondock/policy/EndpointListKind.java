package lemondock.policy;

/** What an endpoint list event holds. */
public enum EndpointListKind {
  /** Only the servers that have changed. */
  CHANGES,
  /** All servers. */
  FULL_LIST,
  /** All servers, as they were cached before a restart. */
  CACHED,
  /** Nothing: the list could not be had. */
  FAILED
}
