package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.READER;
import static lemondock.policy.RecordingHost.SECOND;
import static lemondock.policy.RecordingHost.WRITER;
import static lemondock.policy.RecordingHost.readyServer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemondock.policy.RecordingHost.Action;
import org.junit.jupiter.api.Test;

/** Which requests are admitted, queued or rejected before any work is spent on them. */
class AdaptiveCapacityLimitTest extends ControlFixture {
  @Test
  void rejectsARequestInTimeWhenThereIsNoReader() {
    startFleet(readyServer(11, WRITER, 0));
    assertEquals(0, submit(1, IDEMPOTENT_CLASS, 1, 0, 1000));
    now += SECOND;
    control.timerFired(now, RequestTimer.QUEUE_TIMEOUT.token(1));
    assertEquals(1, host.actionsNamed("reject").size());
  }

  @Test
  void sendsAQueuedRequestWhenAReaderIsAdded() {
    startFleet(readyServer(11, WRITER, 0));
    submit(1, IDEMPOTENT_CLASS, 1, 0, 1000);
    control.endpointsChanged(now, EndpointListKind.CHANGES, List.of(readyServer(1, READER, 0)));
    assertEquals(1, lastSentTo());
  }

  @Test
  void subtractsTheTokensOfAttemptsThatEnded() {
    startSmallFleet();
    for (int i = 0; i < 2000; i++) {
      assertNotEquals(
          0,
          serveRequest(i, i, i % 7, 2000),
          "request " + i + " was queued: tokens in flight leaked");
    }
  }

  @Test
  void readsNoPromptsBeyondTheCapacityOfTheWriters() {
    startSmallFleet();
    int sent = 0;
    for (int i = 0; i < 400; i++) {
      now += 20_000;
      long reader = submit(i, IDEMPOTENT_CLASS, i, 0, 3000);
      if (reader != 0) {
        sent++;
        now += 1;
        endAttempt(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
        control.firstToken(now, i, 1, lastSentTo(), 10);
      }
    }
    assertTrue(sent > 50 && sent < 150, "reads sent: " + sent);
  }

  /**
   * Guards against a gateway that rejects everything forever after its limit has fallen: with
   * nothing in flight one request is always admitted, and each answer in time adds capacity for one
   * more.
   */
  @Test
  void probesForCapacityWhileItRejectsRequests() {
    startSmallFleet();
    long id = 0;
    while (id < 100) {
      firstTokenAfter(++id, SECOND);
    }
    assertNotEquals(
        0,
        submit(++id, IDEMPOTENT_CLASS, id, 0, 3000),
        "the probe is admitted, because nothing is in flight");
    final long probe = id;
    assertEquals(
        0,
        submit(++id, IDEMPOTENT_CLASS, id, 0, 3000),
        "there is no capacity for a second request during the probe");
    final long rejected = id;
    List<Action> queueTimers =
        host.actionsNamed("timer").stream().filter(timer -> timer.value() <= SECOND).toList();
    host.actions.clear();
    now += SECOND;
    queueTimers.forEach(timer -> control.timerFired(now, timer.id()));
    assertEquals(List.of(rejected), host.actionsNamed("reject").stream().map(Action::id).toList());
    answerAfter(probe, 10);
    firstTokenAfter(++id, 10);
    firstTokenAfter(++id, 10);
    assertNotEquals(0, submit(++id, IDEMPOTENT_CLASS, id, 0, 3000), "the next probe is admitted");
    assertNotEquals(
        0,
        submit(++id, IDEMPOTENT_CLASS, id, 0, 3000),
        "three answers in time add capacity for a second request, even of lower priority");
  }
}
