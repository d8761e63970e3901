package lemondock.policy;

/** Lifecycle of a server, as the endpoint list has it. */
public enum ServerLifecycle {
  /** It takes requests. */
  READY,
  /** It ends what it has and takes nothing new. */
  DRAINING,
  /** It is not listed any more. */
  GONE
}
