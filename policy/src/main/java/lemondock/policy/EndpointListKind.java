package lemondock.policy;

/**
 * What an endpoint list event holds: changes only, the full list, the full list as cached before a
 * restart, or nothing because it could not be had.
 */
public enum EndpointListKind {
  CHANGES,
  FULL_LIST,
  CACHED,
  FAILED
}
