package lemondock.faultinjection;

import java.util.function.Consumer;

/** A gateway process may end only by a signal, and after SIGTERM only with exit code 0. */
final class CrashAudit implements RunAudit {
  private final RunHistory history;

  CrashAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(Consumer<Breach> breaches) {
    for (GatewayIncarnation incarnation : history.runRecord().incarnations()) {
      boolean endedUnkilled = incarnation.hasEnded() && !incarnation.wasKilled();
      boolean endedCleanly = incarnation.wasTerminated() && incarnation.exitCode() == 0;
      if (endedUnkilled && !endedCleanly) {
        breaches.accept(
            new Breach(
                Rule.CRASH,
                incarnation.gatewayName()
                    + " ended at "
                    + history.formatTime(incarnation.endedMicros())
                    + " with "
                    + incarnation.exitCode()));
      }
    }
  }
}
