package lemondock.policy;

/**
 * What a list event holds: changes only, the whole list, the whole list from before a restart, or
 * nothing.
 */
public enum EndpointListKind {
  CHANGES,
  FULL_LIST,
  CACHED,
  FAILED
}
