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

/** Tests when reserved state is released, and that a write finds the state until then. */
class StateReleasePolicyTest extends ControlFixture {
  /**
   * Found when most writers became silent at once: each failed attempt to connect held the state
   * for longer.
   */
  @Test
  void releasesStateThatNoWriterTookInTimeAndReadsAgain() {
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
    assertTrue(host.actionsNamed("release").isEmpty(), "another writer may still take the state");
    writer = lastSentTo();
    assertTrue(writer >= 11);
    now += RELEASE_WITHIN_MICROS * 3 / 10;
    host.actions.clear();
    endAttempt(1, 2, writer, AttemptOutcome.CONNECT_FAILED, false);
    assertEquals(1, host.actionsNamed("release").size());
    assertTrue(
        host.actionsNamed("send").stream().noneMatch(send -> send.server() >= 11),
        "no write is sent without a state");
    assertEquals(
        1,
        host.actionsNamed("send").size() + host.actionsNamed("reject").size(),
        "the prompt is read again, or the request is answered");
  }

  /**
   * Incident 36: sending a write does not prove that it arrives, so the time limit of its state
   * keeps running.
   */
  @Test
  void releasesStateInTimeWhileWriteIsInFlight() {
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
          "the write is not cancelled: it may wait at its server");
      now += RELEASE_WITHIN_MICROS;
      fireReleaseTimer();
      assertEquals(
          List.of("release"),
          actionNames(),
          "released again: the write may have waited and ended with its answer lost");
      control.firstToken(now, 1, 1, writer, 2 * RELEASE_WITHIN_MICROS);
      fireReleaseTimer();
      assertEquals(List.of(), actionNames());
    }
  }

  /**
   * A write that arrives after the release finds no state, which proves that it never ran, so that
   * requests of all classes are retried.
   */
  @Test
  void retriesWriteThatArrivesAfterTheRelease() {
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
      assertTrue(lastSentTo() == 1 || lastSentTo() == 2, "the prompt is read again");
      assertTrue(host.actionsNamed("release").isEmpty(), "no state is held any more");
    }
  }

  /**
   * A read may have ended although its answer was lost: if it takes far longer than expected, the
   * state that it may have left is released.
   */
  @Test
  void releasesStateOfReadWithoutAnswer() {
    startSmallFleet();
    submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += RELEASE_WITHIN_MICROS / 10;
    fireReleaseTimer();
    assertEquals(
        List.of(),
        actionNames(),
        "the read may still be running, and a release would take its state away");
    now += SECOND / 2;
    for (int i = 0; i < 3; i++) {
      now += RELEASE_WITHIN_MICROS;
      fireReleaseTimer();
      assertEquals(1, host.actionsNamed("timer").size(), "the timer is set again");
      assertEquals(List.of("release"), actionNames());
    }
  }

  /**
   * Found in CI: an answer to older work came right after the read was sent and none after that;
   * the read's own answer was lost.
   */
  @Test
  void queueThatStoppedProgressingDoesNotDelayTheRelease() {
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

  /** The server continues to answer older work: the read waits in a queue that makes progress. */
  @Test
  void keepsStateOfReadWhoseQueueProgresses() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, submit(2, IDEMPOTENT_CLASS, 1, 77, 500));
    now += SECOND;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    fireReleaseTimer();
    assertEquals(1, host.actionsNamed("timer").size(), "the read is checked again later");
    assertEquals(List.of(), actionNames());
  }

  /**
   * An immediate release would take away the state of the second read, which begins at the same
   * moment. The release still happens within the limit.
   */
  @Test
  void releasesStateOfBrokenReadWithinTheLimit() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 20_000;
    endAttempt(1, 0, reader, AttemptOutcome.RESET, false);
    assertTrue(lastSentTo() == 1 || lastSentTo() == 2, "the prompt is read again");
    assertTrue(host.actionsNamed("release").isEmpty());
    now += RELEASE_WITHIN_MICROS - 1_000;
    fireReleaseTimer();
    assertEquals(List.of(), actionNames());
    now += 1_000;
    fireReleaseTimer();
    assertEquals(List.of("release"), actionNames());
  }

  @Test
  void releasesStateOfBrokenReadWhenRequestEnds() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    control.clientDisconnected(now, 1);
    endAttempt(1, 0, reader, AttemptOutcome.CANCELLED, true);
    assertEquals(List.of("release"), actionNames());
  }

  @Test
  void releasesNothingAfterReadThatNeverRan() {
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
   * Found with hung writers: the release arrived after the second read had created its state, so
   * that the second write found none.
   */
  @Test
  void keepsStateThatWriteMayHaveTakenBeforeReadingAgain() {
    startSmallFleet();
    long releaseWithinMicros = RecordingHost.settings(4, true).rules().releaseWithinMicros();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    now += 50_000;
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = lastSentTo();
    now += releaseWithinMicros;
    endAttempt(1, 1, writer, AttemptOutcome.CANCELLED, false);
    assertTrue(
        host.actionsNamed("release").isEmpty(),
        "a release would drop the next read's state too: readers hold states under the request's"
            + " id");
    assertTrue(lastSentTo() == 1 || lastSentTo() == 2, "the prompt is read again");
  }

  @Test
  void releasesStateOfLateReadOfEndedRequest() {
    startSmallFleet();
    long reader = submit(1, IDEMPOTENT_CLASS, 1, 0, 1000);
    control.clientDisconnected(now, 1);
    endAttempt(1, 0, reader, AttemptOutcome.PROMPT_READ, true);
    assertEquals(List.of("release"), actionNames());
  }
}
