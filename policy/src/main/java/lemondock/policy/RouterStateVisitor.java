package lemondock.policy;

/** What {@link RequestRouter#look} tells: each server listed, then all together. */
public interface RouterStateVisitor {
  /** One server and what this gateway holds of it. */
  void server(long id, ServerRole role, ServerLifecycle standing, boolean cold, boolean healthy);

  /** Requests that wait for room, tokens under way, and the tokens that may be. */
  void all(int parked, long tokensUnderWay, long room);
}
