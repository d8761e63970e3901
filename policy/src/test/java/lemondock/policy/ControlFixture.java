package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.READER;
import static lemondock.policy.RecordingHost.SECOND;
import static lemondock.policy.RecordingHost.WRITER;
import static lemondock.policy.RecordingHost.newRequest;
import static lemondock.policy.RecordingHost.readyServer;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import lemondock.policy.RecordingHost.Action;

/** Fixture of a router with a recording host and a settable clock, with helpers for its events. */
abstract class ControlFixture {
  final RecordingHost host = new RecordingHost();

  Control control = new Control(RecordingHost.settings(4, true), 7, host);

  long now = 100 * SECOND;

  void startFleet(ServerEntry... servers) {
    control.started(now);
    control.endpointsChanged(now, EndpointListKind.CACHED, List.of(servers));
    host.takeActions();
  }

  void startSmallFleet() {
    startFleet(
        readyServer(1, READER, 0),
        readyServer(2, READER, 1),
        readyServer(11, WRITER, 0),
        readyServer(12, WRITER, 1));
  }

  /** Submits a request and returns the server of its first attempt, or 0 if none was sent. */
  long submit(long id, int classId, long session, long prefix, int prompt) {
    host.actions.clear();
    control.requestArrived(now, newRequest(id, classId, session, prefix, prompt));
    return lastSentTo();
  }

  long lastSentTo() {
    List<Action> sends = host.actionsNamed("send");
    return sends.isEmpty() ? 0 : sends.get(sends.size() - 1).server();
  }

  void endAttempt(long id, int attempt, long server, AttemptOutcome outcome, boolean requestEnded) {
    host.actions.clear();
    control.attemptEnded(
        now,
        AttemptResult.builder()
            .requestId(id)
            .attempt(attempt)
            .serverId(server)
            .outcome(outcome)
            .elapsedMicros(50_000)
            .requestEnded(requestEnded)
            .build());
  }

  /** Serves a whole request: read, write and stream; returns the reader. */
  long serveRequest(long id, long session, long prefix, int prompt) {
    long reader = submit(id, IDEMPOTENT_CLASS, session, prefix, prompt);
    now += 50_000;
    endAttempt(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = lastSentTo();
    now += 50_000;
    control.firstToken(now, id, 1, writer, 50_000);
    now += SECOND;
    endAttempt(id, 1, writer, AttemptOutcome.OK, true);
    return reader;
  }

  static final long RELEASE_WITHIN_MICROS =
      RecordingHost.settings(4, true).rules().releaseWithinMicros();

  /**
   * Advances the clock from one release timer to the next and fires them, until one of them
   * releases a state.
   *
   * @param firstSetAtMicros when the first timer was set, if it is no longer among the recorded
   *     actions
   */
  void awaitRelease(long firstSetAtMicros) {
    long token = RequestTimer.STATE_RELEASE.token();
    long dueAtMicros = Long.MAX_VALUE;
    for (Action timer : host.actionsNamed("timer")) {
      dueAtMicros = timer.id() == token ? Math.min(dueAtMicros, now + timer.value()) : dueAtMicros;
    }
    now =
        dueAtMicros < Long.MAX_VALUE
            ? dueAtMicros
            : firstSetAtMicros + RELEASE_WITHIN_MICROS * 8 / 10;
    fireReleaseTimer();
    while (host.actionsNamed("release").isEmpty()) {
      now += host.actionsNamed("timer").get(0).value();
      fireReleaseTimer();
    }
  }

  void fireReleaseTimer() {
    host.actions.clear();
    control.timerFired(now, RequestTimer.STATE_RELEASE.token());
  }

  /** Takes the recorded actions and returns their names, without those of timers. */
  List<String> actionNames() {
    return host.takeActions().stream()
        .map(Action::name)
        .filter(name -> !name.equals("timer"))
        .toList();
  }

  /** Submits a request and serves it with the given time to first token. */
  void firstTokenAfter(long id, long timeToFirstTokenMicros) {
    assertNotEquals(0, submit(id, IDEMPOTENT_CLASS, id, 0, 3000), "request " + id);
    answerAfter(id, timeToFirstTokenMicros);
  }

  /** Serves a submitted request: its read ends now, its first token comes after the given time. */
  void answerAfter(long id, long timeToFirstTokenMicros) {
    long reader =
        host.actionsNamed("send").stream()
            .filter(send -> send.id() == id)
            .findFirst()
            .map(Action::server)
            .orElse(1L);
    endAttempt(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = lastSentTo();
    now += timeToFirstTokenMicros;
    control.firstToken(now, id, 1, writer, timeToFirstTokenMicros);
    endAttempt(id, 1, writer, AttemptOutcome.OK, true);
  }

  /**
   * Submits a request whose read succeeds and whose client then disconnects; returns the reader.
   */
  long serveRead(long id) {
    long reader = submit(id, IDEMPOTENT_CLASS, id, id, 1000);
    if (reader != 0) {
      now += 1_000;
      endAttempt(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
      control.clientDisconnected(now, id);
      endAttempt(id, 1, 11, AttemptOutcome.CANCELLED, true);
    }
    return reader;
  }

  /** Submits a request and ends its read successfully, so that its write is sent. */
  void readPrompt(long id, int classId, long session, long prefix, int prompt) {
    long reader = submit(id, classId, session, prefix, prompt);
    endAttempt(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
  }
}
