package lemondock.dispatch;

import java.util.function.LongFunction;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.DecisionReason;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * Counts what becomes of attempts and states, for reports; the methods that are not overridden
 * count nothing.
 */
public interface AttemptMetrics {
  /** Counts nothing. */
  AttemptMetrics NONE = new AttemptMetrics() {};

  /** An attempt was sent to a server of that role and zone. */
  default void sent(ServerRole role, String zone) {}

  /** An attempt has ended. */
  default void attemptEnded(ServerRole role, String zone, AttemptOutcome ending) {}

  /** A state waits in that zone. */
  default void stateMade(String zone) {}

  /** A state was fetched after waiting so many microseconds. */
  default void stateFetched(String zone, long waited) {}

  /** A state was let go after waiting so many microseconds. */
  default void stateLetGo(String zone, long waited) {}

  /** The module did something with a request for that reason. */
  default void decided(DecisionReason reason) {}

  /** Takes what the module tells of its view. */
  default RouterStateVisitor look(LongFunction<String> zoneOf) {
    return new RouterStateVisitor() {
      @Override
      public void server(
          long id, ServerRole role, ServerLifecycle standing, boolean cold, boolean healthy) {}

      @Override
      public void totals(int parked, long tokensUnderWay, long room) {}
    };
  }
}
