package lemondock.dispatch;

import java.util.Optional;
import java.util.function.LongFunction;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.DecisionReason;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * Receives what is to be counted of attempts and reserved states; methods that are not overridden
 * count nothing. Loop thread only; times are microseconds.
 */
public interface AttemptMetrics {
  /** Counts nothing. */
  AttemptMetrics NONE = new AttemptMetrics() {};

  /** An attempt was sent to a server of that role and zone. */
  default void attemptSent(ServerRole role, String zone) {}

  /** An attempt has ended. */
  default void attemptEnded(ServerRole role, String zone, AttemptOutcome outcome) {}

  /** A state was reserved at a server of that zone. */
  default void stateReserved(String zone) {}

  /** A reserved state was fetched by the server that decodes from it. */
  default void stateFetched(String zone, long reservedMicros) {}

  /** A reserved state was released unused. */
  default void stateReleased(String zone, long reservedMicros) {}

  /** The router gave that reason for a decision on a request. */
  default void decisionMade(DecisionReason reason) {}

  /**
   * A visitor that records the router's state.
   *
   * @param zoneOf the zone of a server by its number, empty if the server is not known
   */
  default RouterStateVisitor stateVisitor(LongFunction<Optional<String>> zoneOf) {
    return new RouterStateVisitor() {
      @Override
      public void server(
          long id,
          ServerRole role,
          ServerLifecycle lifecycle,
          boolean warmingUp,
          boolean healthy) {}

      @Override
      public void totals(int queued, long tokensInFlight, long capacityTokens) {}
    };
  }
}
