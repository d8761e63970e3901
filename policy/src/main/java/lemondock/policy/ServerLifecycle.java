package lemondock.policy;

/** Lifecycle state of a server, as reported by the endpoint list. */
public enum ServerLifecycle {
  /** It accepts requests. */
  READY,
  /** It finishes the requests that it has and accepts no new ones. */
  DRAINING,
  /** It is no longer listed. */
  GONE
}
