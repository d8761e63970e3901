package lemondock.faultinjection;

import java.util.function.Consumer;

/** A gateway's process may end only by a signal, and after SIGTERM with exit code 0. */
final class CrashAudit implements RunAudit {
  private final RunHistory history;

  CrashAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(Consumer<Breach> breaches) {
    for (GatewayIncarnation incarnation : history.runRecord().incarnations()) {
      boolean endedByItself = incarnation.hasEnded() && !incarnation.wasKilled();
      boolean endedWell = incarnation.wasTerminated() && incarnation.exitCode() == 0;
      if (endedByItself && !endedWell) {
        breaches.accept(
            new Breach(
                Rule.CRASH,
                incarnation.gatewayName()
                    + " ended at "
                    + history.formatMoment(incarnation.endedMicros())
                    + " with "
                    + incarnation.exitCode()));
      }
    }
  }
}
