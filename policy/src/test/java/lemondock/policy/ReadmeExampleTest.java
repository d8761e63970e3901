package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the example of README.md. */
class ReadmeExampleTest {
  @Test
  void readmeExampleServesRequest() {
    RecordingHost host = new RecordingHost();
    RequestRouter router = new Control(RecordingHost.settings(4, true), 1, host);
    long now = 1_000_000;
    router.started(now);
    router.endpointsChanged(
        now,
        EndpointListKind.FULL_LIST,
        List.of(
            RecordingHost.readyServer(1, RecordingHost.READER, 0),
            RecordingHost.readyServer(2, RecordingHost.WRITER, 0)));
    router.requestArrived(
        now, RecordingHost.newRequest(7, RecordingHost.IDEMPOTENT_CLASS, 5, 0, 900));
    router.attemptEnded(
        now + 1000,
        AttemptResult.builder()
            .requestId(7)
            .serverId(1)
            .outcome(AttemptOutcome.PROMPT_READ)
            .elapsedMicros(1000)
            .build());
    router.firstToken(now + 2000, 7, 1, 2, 1000);
    router.attemptEnded(
        now + 3000,
        AttemptResult.builder()
            .requestId(7)
            .attempt(1)
            .serverId(2)
            .outcome(AttemptOutcome.OK)
            .elapsedMicros(2000)
            .requestEnded(true)
            .build());
    assertEquals(
        List.of(1L, 2L),
        host.actionsNamed("send").stream().map(RecordingHost.Action::server).toList());
    assertTrue(host.actionsNamed("fail").isEmpty() && host.actionsNamed("reject").isEmpty());
  }
}
