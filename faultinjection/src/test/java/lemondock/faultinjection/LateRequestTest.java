package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A gateway took requests over 0.7 s after SIGTERM that were under way at SIGKILL, because it
 * expected their answers at the objective of their class while all servers wrote more slowly.
 */
@Timeout(60)
class LateRequestTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final int CLIENTS = 20;
  private static final int ANSWER_TOKENS = 16;
  private static final long FIRST_TOKEN_MICROS = 10_000;
  private static final long DEADLINE_MILLIS = 500;

  /** Time after SIGTERM at which late clients connect: new connections still come. */
  private static final long CONNECT_MILLIS = 200;

  /** Time after SIGTERM at which the first late client sends, later than 0.85 s. */
  private static final long FIRST_SENT_MILLIS = 900;

  private static final long SEND_INTERVAL_MILLIS = 70;

  @TempDir Path folder;

  @ParameterizedTest
  @CsvSource({"1, 100000", "4, 100000", "8, 80000"})
  void lateRequestIsNotUnderWayAtTheKill(int tokensPerEvent, long tokenIntervalMicros)
      throws Exception {
    int events = ANSWER_TOKENS / tokensPerEvent;
    StreamPace pace =
        new StreamPace(
            FIRST_TOKEN_MICROS, tokensPerEvent, tokenIntervalMicros, events, 1, ANSWER_TOKENS);
    FleetShape shape = new FleetShape(1, 4, 4, 500, 3_000, CLIENTS, 15_000, 250, pace);
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, Optional.empty(), 66)) {
      fleet.start();
      GatewayProcess gateway = fleet.gateways().get(0);
      SingleCalls earlyCalls = new SingleCalls("early", gateway, ANSWER_TOKENS);
      for (int i = 0; i < CLIENTS; i++) {
        earlyCalls.start(CallEffect.SAFE, DEADLINE_MILLIS);
      }
      earlyCalls.await();
      SingleCalls lateCalls = new SingleCalls("late", gateway, ANSWER_TOKENS);
      for (int i = 0; i < CLIENTS; i++) {
        long sendMillis = FIRST_SENT_MILLIS + i * SEND_INTERVAL_MILLIS;
        lateCalls.start(CallEffect.SAFE, DEADLINE_MILLIS, CONNECT_MILLIS, sendMillis);
      }
      gateway.terminate(shape.killAfterMs());
      lateCalls.await();
      assertTrue(earlyCalls.count(CallOutcome.SERVED) > CLIENTS / 2, "most are served before");
      assertEquals(0, lateCalls.count(CallOutcome.BROKEN), "under way at SIGKILL");
      assertTrue(lateCalls.count(CallOutcome.SERVED) > 0, "what can end before the kill is served");
    }
  }
}
