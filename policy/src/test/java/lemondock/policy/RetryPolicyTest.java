package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENCY_KEY_CLASS;
import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.NON_IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.READER;
import static lemondock.policy.RecordingHost.SECOND;
import static lemondock.policy.RecordingHost.WRITER;
import static lemondock.policy.RecordingHost.readyServer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what is retried, at which servers, and with which final answer a request ends. */
class RetryPolicyTest extends ControlFixture {
  @Test
  void readsPromptAgainAfterWriteThatMayHaveRun() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 0, 1000);
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    endAttempt(1, 1, lastSentTo(), AttemptOutcome.ERROR, false);
    assertTrue(
        lastSentTo() <= 10, "sent to a reader: a write would find no state and waste an attempt");
    endAttempt(1, 2, lastSentTo(), AttemptOutcome.PROMPT_READ, false);
    assertTrue(lastSentTo() > 10);
  }

  @Test
  void lastAttemptIsWriteEvenIfStateMayBeConsumed() {
    startSmallFleet();
    readPrompt(1, IDEMPOTENT_CLASS, 1, 0, 1000);
    endAttempt(1, 1, lastSentTo(), AttemptOutcome.REJECTED, false);
    endAttempt(1, 2, lastSentTo(), AttemptOutcome.ERROR, false);
    assertTrue(lastSentTo() > 10 && host.actionsNamed("reject").isEmpty());
  }

  @Test
  void nonIdempotentRequestFailsAfterWriteThatMayHaveRun() {
    startSmallFleet();
    readPrompt(1, NON_IDEMPOTENT_CLASS, 1, 0, 1000);
    endAttempt(1, 1, lastSentTo(), AttemptOutcome.ERROR, false);
    assertEquals(List.of("fail", "release"), actionNames());
  }

  @Test
  void nonIdempotentRequestIsNotRejectedWhileReadIsInFlight() {
    startSmallFleet();
    submit(1, NON_IDEMPOTENT_CLASS, 1, 0, 1000);
    host.actions.clear();
    now += 4 * SECOND;
    control.timerFired(now, RequestTimer.DEADLINE.token(1));
    assertEquals(List.of("fail", "cancel"), actionNames());
  }

  @Test
  void retryWithIdempotencyKeyStaysInDeduplicationScope() {
    startFleet(
        readyServer(1, READER, 0),
        readyServer(11, WRITER, 0),
        readyServer(12, WRITER, 1),
        readyServer(13, WRITER, 0));
    readPrompt(1, IDEMPOTENCY_KEY_CLASS, 1, 0, 1000);
    long first = lastSentTo();
    endAttempt(1, 1, first, AttemptOutcome.ERROR, false);
    long second = lastSentTo();
    if (first == 12) {
      assertEquals(
          List.of("fail", "release"),
          actionNames(),
          "the cell has no other writer, retried at: " + second);
    } else {
      assertTrue(second == 11 || second == 13);
    }
  }

  /** A repeated write was sent after the servers had forgotten its key (review/3). */
  @Test
  void repeatedWriteIsNotSentAfterTheDeduplicationWindow() {
    startSmallFleet();
    readPrompt(1, IDEMPOTENCY_KEY_CLASS, 1, 0, 1000);
    final long firstWriteMicros = now;
    now += SECOND / 2;
    endAttempt(1, 1, lastSentTo(), AttemptOutcome.RESET, false);
    if (lastSentTo() <= 10) {
      endAttempt(1, 2, lastSentTo(), AttemptOutcome.PROMPT_READ, false);
    }
    assertTrue(lastSentTo() > 10);
    long windowEndMicros = firstWriteMicros + SECOND;
    long latestSendMicros = host.sendLimits.get(host.sendLimits.size() - 1);
    assertTrue(
        now < latestSendMicros && latestSendMicros <= windowEndMicros,
        windowEndMicros - latestSendMicros + " us before the end of the window");
    assertEquals(
        host.sendLimits.size() - 1,
        host.sendLimits.stream().filter(limit -> limit == RouterHost.NO_SEND_LIMIT).count(),
        "reads and first writes have no limit");
  }

  @Test
  void answersRequestWhoseStreamEndsWithoutEndingIt() {
    startSmallFleet();
    readPrompt(1, NON_IDEMPOTENT_CLASS, 1, 0, 1000);
    long writer = lastSentTo();
    control.firstToken(now, 1, 1, writer, 10_000);
    endAttempt(1, 1, writer, AttemptOutcome.CANCELLED, false);
    assertEquals(List.of("fail"), actionNames());
  }
}
