package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.NON_IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which attempts are cancelled for being slow. */
class AttemptTimeoutsTest extends ControlFixture {
  /**
   * Found by the soak test: a single answer to older work, with none after it, kept a lost read
   * from being cancelled until its deadline.
   */
  @Test
  void cancelsReadOnceItsQueueStopsProgressing() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, submit(2, IDEMPOTENT_CLASS, 1, 77, 500));
    now += SECOND;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertTrue(host.actionsNamed("cancel").isEmpty(), "its queue has made progress");
    now += 4 * SECOND;
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertEquals(1, host.actionsNamed("cancel").size());
  }

  /**
   * Answers can be lost at servers that otherwise work: a read that takes far too long is cancelled
   * and retried.
   */
  @Test
  void cancelsAndRetriesLostRead() {
    startSmallFleet();
    final long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 620_000;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertTrue(host.actionsNamed("cancel").isEmpty(), "the read has not timed out yet");
    now += 310_000;
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertEquals(List.of("cancel"), actionNames());
    endAttempt(1, 0, reader, AttemptOutcome.CANCELLED, false);
    assertFalse(host.actions.isEmpty(), "the request of a lost read is retried or answered");
  }

  /**
   * A read that waits in a queue that makes progress is not lost: cancelling it would give up its
   * place in the queue.
   */
  @Test
  void keepsOverdueReadWhileOlderWorkIsAnswered() {
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
  void readTimeoutDoesNotCancelNonIdempotentWrite() {
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
