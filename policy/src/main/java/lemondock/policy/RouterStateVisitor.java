package lemondock.policy;

/** Visitor of a state snapshot, see {@link RequestRouter#visitState}: each server, then totals. */
public interface RouterStateVisitor {
  /** One server and how this gateway judges it. */
  void server(
      long id, ServerRole role, ServerLifecycle lifecycle, boolean warmingUp, boolean healthy);

  /** Queued requests, tokens in flight, and the tokens that may be in flight. */
  void totals(int queued, long tokensInFlight, long capacityTokens);
}
