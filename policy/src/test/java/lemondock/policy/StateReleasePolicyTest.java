package lemondock.policy;

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

/** When reserved state is released, and that a write finds it until then. */
class StateReleasePolicyTest extends ControlFixture {
  /**
   * Found on a day on which most writers fell silent at once: each connection that never came up
   * held the state for longer.
   */
  @Test
  void aStateThatNoWriterTookInTimeIsReleasedAndReadAnew() {
    startFleet(
        readyServer(1, READER, 0),
        readyServer(2, READER, 0),
        readyServer(11, WRITER, 0),
        readyServer(12, WRITER, 0),
        readyServer(13, WRITER, 0));
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 50_000;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = lastSentTo();
    now += RELEASE_WITHIN_MICROS / 2;
    host.actions.clear();
    endAttempt(1, 1, writer, AttemptOutcome.CONNECT_FAILED, false);
    assertTrue(host.actionsNamed("release").isEmpty(), "another writer may still take it");
    writer = lastSentTo();
    assertTrue(writer >= 11);
    now += RELEASE_WITHIN_MICROS * 3 / 10;
    host.actions.clear();
    endAttempt(1, 2, writer, AttemptOutcome.CONNECT_FAILED, false);
    assertEquals(1, host.actionsNamed("release").size());
    assertTrue(
        host.actionsNamed("send").stream().noneMatch(send -> send.server() >= 11),
        "a write without a state");
    assertEquals(
        1,
        host.actionsNamed("send").size() + host.actionsNamed("reject").size(),
        "read anew or answered");
  }

  /**
   * Incident 36: a write that was sent is no proof that it has arrived; its state's time runs on.
   */
  @Test
  void aStateIsReleasedInTimeThoughItsWriteIsOut() {
    for (int classId : List.of(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS)) {
      control = new Control(RecordingHost.settings(4, true), 7, host);
      startSmallFleet();
      long reader = submit(1, classId, 1, 77, 500);
      now += 20_000;
      endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
      long writer = lastSentTo();
      assertTrue(writer >= 11);
      long readEnd = now;
      awaitRelease(readEnd - 20_000);
      assertEquals(RELEASE_WITHIN_MICROS * 8 / 10, now - readEnd);
      assertEquals(
          List.of("release"),
          actionNames(),
          "nothing is cancelled: the write may wait at its server");
      now += RELEASE_WITHIN_MICROS;
      fireReleaseTimer();
      assertEquals(List.of("release"), actionNames(), "it may have waited, and have ended unheard");
      control.firstToken(now, 1, 1, writer, 2 * RELEASE_WITHIN_MICROS);
      fireReleaseTimer();
      assertEquals(List.of(), actionNames());
    }
  }

  /**
   * A write that comes after the release finds no state, which proves that it never ran, whatever
   * the class.
   */
  @Test
  void aWriteThatComesAfterTheReleaseIsTriedAnew() {
    for (int classId : List.of(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS)) {
      control = new Control(RecordingHost.settings(4, true), 7, host);
      startSmallFleet();
      long reader = submit(1, classId, 1, 77, 500);
      endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
      final long writer = lastSentTo();
      now += RELEASE_WITHIN_MICROS;
      fireReleaseTimer();
      assertEquals(1, host.actionsNamed("release").size());
      host.actions.clear();
      control.attemptEnded(
          now,
          AttemptResult.builder()
              .requestId(1)
              .attempt(1)
              .serverId(writer)
              .outcome(AttemptOutcome.REJECTED)
              .elapsedMicros(RELEASE_WITHIN_MICROS)
              .stateMissing(true)
              .build());
      assertTrue(lastSentTo() == 1 || lastSentTo() == 2, "read anew");
      assertTrue(host.actionsNamed("release").isEmpty(), "nothing is held any more");
    }
  }

  /**
   * A read may have ended and its answer be lost: where it is out far longer than it should be,
   * what it may hold is released.
   */
  @Test
  void whatAReadWithoutAnAnswerMayHoldIsReleased() {
    startSmallFleet();
    submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += RELEASE_WITHIN_MICROS / 10;
    fireReleaseTimer();
    assertEquals(
        List.of(),
        actionNames(),
        "it may still be read, and a release would take its state from it");
    now += SECOND / 2;
    for (int i = 0; i < 3; i++) {
      now += RELEASE_WITHIN_MICROS;
      fireReleaseTimer();
      assertEquals(1, host.actionsNamed("timer").size(), "and again");
      assertEquals(List.of("release"), actionNames());
    }
  }

  /**
   * Found in CI: an older answer came right after the read was sent, and none after it; the read's
   * own was lost.
   */
  @Test
  void aQueueThatMovedOnlyAtFirstDoesNotPutTheReleaseOff() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, submit(2, IDEMPOTENT_CLASS, 1, 77, 500));
    now += 5_000;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    control.firstToken(now, 1, 1, lastSentTo(), 1_000);
    now += SECOND;
    fireReleaseTimer();
    assertEquals(List.of("release"), actionNames());
  }

  /** Its server goes on answering older work: the read waits in a queue that moves. */
  @Test
  void aReadWhoseQueueMovesIsNotReleased() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, submit(2, IDEMPOTENT_CLASS, 1, 77, 500));
    now += SECOND;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    fireReleaseTimer();
    assertEquals(1, host.actionsNamed("timer").size(), "looked at again");
    assertEquals(List.of(), actionNames());
  }

  /**
   * At once it would take the state of the second read, which begins in the same moment; the limit
   * is kept all the same.
   */
  @Test
  void whatABrokenReadMayHaveLeftIsReleasedInTime() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 20_000;
    endAttempt(1, 0, reader, AttemptOutcome.RESET, false);
    assertTrue(lastSentTo() == 1 || lastSentTo() == 2, "read anew");
    assertTrue(host.actionsNamed("release").isEmpty());
    now += RELEASE_WITHIN_MICROS - 1_000;
    fireReleaseTimer();
    assertEquals(List.of(), actionNames());
    now += 1_000;
    fireReleaseTimer();
    assertEquals(List.of("release"), actionNames());
  }

  @Test
  void whatABrokenReadMayHaveLeftIsReleasedAtTheEndOfItsRequest() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    control.clientDisconnected(now, 1);
    endAttempt(1, 0, reader, AttemptOutcome.CANCELLED, true);
    assertEquals(List.of("release"), actionNames());
  }

  @Test
  void aReadThatNeverRanLeavesNothingToRelease() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    endAttempt(1, 0, reader, AttemptOutcome.CONNECT_FAILED, false);
    assertTrue(host.actionsNamed("release").isEmpty());
    control.clientDisconnected(now, 1);
    long second = lastSentTo();
    endAttempt(1, 1, second, AttemptOutcome.CONNECT_FAILED, true);
    assertTrue(host.actionsNamed("release").isEmpty());
  }

  /**
   * Found on days with hung writers: the release came after the second read had made its state, and
   * the second write found none.
   */
  @Test
  void aStateThatAWriteMayHaveTakenIsNotReleasedBeforeTheReadAnew() {
    startSmallFleet();
    long within = RecordingHost.settings(4, true).rules().releaseWithinMicros();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 50_000;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = lastSentTo();
    now += within;
    endAttempt(1, 1, writer, AttemptOutcome.CANCELLED, false);
    assertTrue(
        host.actionsNamed("release").isEmpty(),
        "all attempts share the request's name where states are held");
    assertTrue(lastSentTo() == 1 || lastSentTo() == 2, "read anew");
  }

  @Test
  void aLateReadOfAnEndedRequestIsReleased() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 0, 1000);
    control.clientDisconnected(now, 1);
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, true);
    assertEquals(List.of("release"), actionNames());
  }
}
