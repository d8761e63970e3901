package lemondock.dispatch;

import java.util.function.LongFunction;
import lemondock.policy.Routing;
import lemondock.policy.Routing.Ending;

/**
 * Counts what becomes of attempts and states, for reports; the methods that are not overridden
 * count nothing.
 */
public interface AttemptCount {
  /** Counts nothing. */
  AttemptCount NONE = new AttemptCount() {};

  /** An attempt was sent to a server of that role and zone. */
  default void sent(Routing.Role role, String zone) {}

  /** An attempt has ended. */
  default void attemptEnded(Routing.Role role, String zone, Ending ending) {}

  /** A state waits in that zone. */
  default void stateMade(String zone) {}

  /** A state was fetched after waiting so many microseconds. */
  default void stateFetched(String zone, long waited) {}

  /** A state was let go after waiting so many microseconds. */
  default void stateLetGo(String zone, long waited) {}

  /** The module did something with a request for that reason. */
  default void decided(Routing.Reason reason) {}

  /** Takes what the module tells of its view. */
  default Routing.Sight look(LongFunction<String> zoneOf) {
    return new Routing.Sight() {
      @Override
      public void server(
          long id, Routing.Role role, Routing.Standing standing, boolean cold, boolean healthy) {}

      @Override
      public void all(int parked, long tokensUnderWay, long room) {}
    };
  }
}
