package lemondock.policy;

/** What {@link RequestRouter#visitState} tells: each server listed, then all together. */
public interface RouterStateVisitor {
  /** One server and what this gateway holds of it. */
  void server(
      long id, ServerRole role, ServerLifecycle lifecycle, boolean warmingUp, boolean healthy);

  /** Requests that wait for room, tokens under way, and the tokens that may be. */
  void totals(int queued, long tokensInFlight, long capacityTokens);
}
