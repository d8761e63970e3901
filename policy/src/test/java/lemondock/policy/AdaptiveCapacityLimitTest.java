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

/** What is admitted, queued or rejected before it costs work. */
class AdaptiveCapacityLimitTest extends ControlFixture {
  @Test
  void withoutAnyReaderTheRequestIsRejectedInTime() {
    startFleet(readyServer(11, WRITER, 0));
    assertEquals(0, submit(1, IDEMPOTENT_CLASS, 1, 0, 1000));
    now += SECOND;
    control.timerFired(now, RequestTimer.QUEUE_TIMEOUT.token(1));
    assertEquals(1, host.actionsNamed("reject").size());
  }

  @Test
  void aQueuedRequestIsSentWhenAReaderComes() {
    startFleet(readyServer(11, WRITER, 0));
    submit(1, IDEMPOTENT_CLASS, 1, 0, 1000);
    control.endpointsChanged(now, EndpointListKind.CHANGES, List.of(readyServer(1, READER, 0)));
    assertEquals(1, lastSentTo());
  }

  @Test
  void tokensInFlightOfEndedReadsAreGivenBack() {
    startSmallFleet();
    for (int i = 0; i < 2000; i++) {
      assertNotEquals(
          0, serveRequest(i, i, i % 7, 2000), "request " + i + " was queued: a leak of tokens");
    }
  }

  @Test
  void whatTheWritersCannotTakeIsRejectedBeforeItIsRead() {
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
    assertTrue(sent > 50 && sent < 150, "sent " + sent);
  }

  /**
   * Why admission reopens: with nothing in flight one request is always admitted, and each prompt
   * answer adds capacity for one more.
   */
  @Test
  void aGatewayThatRejectsProbesForCapacity() {
    startSmallFleet();
    long id = 0;
    while (id < 100) {
      firstTokenAfter(++id, SECOND);
    }
    assertNotEquals(
        0, submit(++id, IDEMPOTENT_CLASS, id, 0, 3000), "the probe: nothing else is in flight");
    final long probe = id;
    assertEquals(0, submit(++id, IDEMPOTENT_CLASS, id, 0, 3000), "no capacity beside the probe");
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
    assertNotEquals(0, submit(++id, IDEMPOTENT_CLASS, id, 0, 3000), "the next probe");
    assertNotEquals(
        0,
        submit(++id, IDEMPOTENT_CLASS, id, 0, 3000),
        "three prompt answers add capacity for one beside it, though of a class of lower priority");
  }
}
