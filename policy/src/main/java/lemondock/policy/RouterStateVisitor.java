package lemondock.policy;

/** Visits the servers of a router and then its totals, see {@link RequestRouter#visitState}. */
public interface RouterStateVisitor {
  /** Visits one server with its health as this gateway judges it. */
  void server(
      long id, ServerRole role, ServerLifecycle lifecycle, boolean warmingUp, boolean healthy);

  /** Visits the totals: queued requests, tokens in flight, and the limit of tokens in flight. */
  void totals(int queued, long tokensInFlight, long capacityTokens);
}
