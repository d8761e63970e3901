package lemondock.policy;

/** Lifecycle of a server, as the endpoint list has it. */
public enum ServerLifecycle {
  READY,
  DRAINING,
  GONE
}
