package lemondock.dispatch;

import java.util.Optional;
import java.util.function.LongFunction;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.DecisionReason;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * Receives events about attempts, reserved states and decisions, to count them; the default methods
 * count nothing. Loop thread only; times are microseconds.
 */
public interface AttemptMetrics {
  /** Counts nothing. */
  AttemptMetrics NONE = new AttemptMetrics() {};

  /** An attempt was sent to a server of this role and zone. */
  default void attemptSent(ServerRole role, String zone) {}

  /** An attempt has ended. */
  default void attemptEnded(ServerRole role, String zone, AttemptOutcome outcome) {}

  /** A state was reserved at a server of this zone. */
  default void stateReserved(String zone) {}

  /** A state was fetched by the server that decodes from it, after this time in reservation. */
  default void stateFetched(String zone, long reservedMicros) {}

  /** A state was released unused, after this time in reservation. */
  default void stateReleased(String zone, long reservedMicros) {}

  /** The router made a decision on a request for this reason. */
  default void decisionMade(DecisionReason reason) {}

  /**
   * A visitor that records the router's state.
   *
   * @param zoneOf maps a server id to its zone; empty if the server is unknown
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
