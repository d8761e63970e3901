package lemondock.policy;

/** What the list of servers says of one. */
public enum ServerLifecycle {
  READY,
  DRAINING,
  GONE
}
