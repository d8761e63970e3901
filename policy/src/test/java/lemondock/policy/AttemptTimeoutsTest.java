package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.NON_IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which attempts are cancelled for being slow. */
class AttemptTimeoutsTest extends ControlFixture {
  /**
   * Found by the soak: one older answer, and none after it, kept a lost read from being cancelled
   * until its deadline.
   */
  @Test
  void aReadWhoseQueueHasStoppedMovingIsCancelled() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, submit(2, IDEMPOTENT_CLASS, 1, 77, 500));
    now += SECOND;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertTrue(host.actionsNamed("cancel").isEmpty(), "its queue moves");
    now += 4 * SECOND;
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertEquals(1, host.actionsNamed("cancel").size());
  }

  /**
   * Answers get lost in servers that otherwise work: a read far over its time is cancelled and
   * attempted again.
   */
  @Test
  void aLostReadIsCancelledAndReadAgain() {
    startSmallFleet();
    final long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 620_000;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertTrue(host.actionsNamed("cancel").isEmpty(), "not before its time");
    now += 310_000;
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertEquals(List.of("cancel"), actionNames());
    endAttempt(1, 0, reader, AttemptOutcome.CANCELLED, false);
    assertFalse(host.actions.isEmpty(), "a lost read is attempted again or answered");
  }

  /** A read that waits in a queue that moves is not lost: cancelling it gives its place away. */
  @Test
  void anOverdueReadIsLeftAloneWhileOlderWorkComesBack() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 1000);
    now += 50_000;
    assertEquals(reader, submit(2, IDEMPOTENT_CLASS, 1, 77, 1000));
    now += 100_000;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    now += 2 * SECOND;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertTrue(host.actionsNamed("cancel").isEmpty());
  }

  @Test
  void aTimeoutOfTheReadDoesNotCancelAWriteThatMayNotBeRepeated() {
    startSmallFleet();
    long reader = submit(1, NON_IDEMPOTENT_CLASS, 1, 0, 1000);
    now += 100_000;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    now += 300_000;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertTrue(host.actionsNamed("cancel").isEmpty());
  }
}
