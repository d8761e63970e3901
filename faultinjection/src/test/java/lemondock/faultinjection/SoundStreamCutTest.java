package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A gateway that shut down ended streams that had been silent for a moment, although their servers
 * went on and the kill came later.
 */
@Timeout(60)
class SoundStreamCutTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final int CLIENTS = 12;
  private static final long FIRST_TOKEN_MICROS = 10_000;
  private static final int MAX_TOKENS = 100;
  private static final long CLIENT_DEADLINE_MILLIS = 2_000;

  /** A longest deadline with which the kill may come 1.4 s after SIGTERM. */
  private static final long SHORT_DEADLINE_MILLIS = 700;

  /** When the kill comes after SIGTERM, unless a case says otherwise. */
  private static final long KILL_MILLIS = 3_750;

  /** Time before SIGTERM at which the clients send, unless a case says otherwise. */
  private static final long SENT_BEFORE_SIGNAL_MILLIS = 600;

  @TempDir Path folder;

  /**
   * Half of the writers pause within their answers, at the earliest kill or right before it.
   *
   * @param deadlineMillis the longest deadline of the settings
   * @param pauseAtMillis time from SIGTERM to the pause
   * @param killAtMillis time from SIGTERM to SIGKILL
   */
  @ParameterizedTest
  @CsvSource({
    "700, 900, 500, 40, 3750",
    "700, 1300, 500, 40, 3750",
    "700, 800, 2000, 50, 6000",
    "3000, 2900, 1200, 72, 7000"
  })
  void pausedStreamsAreServedWhole(
      long deadlineMillis, long pauseAtMillis, long pauseMillis, int events, long killAtMillis)
      throws Exception {
    StreamPace pace = new StreamPace(FIRST_TOKEN_MICROS, 1, 50_000, events, 1, MAX_TOKENS);
    assertAllServed(
        shape(deadlineMillis, pace),
        fleet -> pauseHalfOfTheWriters(fleet, pauseAtMillis, pauseMillis),
        killAtMillis);
  }

  /** The events of a sound stream may be further apart than the objective of its class says. */
  @ParameterizedTest
  @CsvSource({"8, 50000, 7", "1, 400000, 7", "16, 60000, 3"})
  void streamsWithFewEventsAreServedWhole(int tokensPerEvent, long tokenIntervalMicros, int events)
      throws Exception {
    StreamPace pace =
        new StreamPace(
            FIRST_TOKEN_MICROS, tokensPerEvent, tokenIntervalMicros, events, 1, MAX_TOKENS);
    assertAllServed(shape(SHORT_DEADLINE_MILLIS, pace), fleet -> {}, KILL_MILLIS);
  }

  /**
   * A gateway that shut down answered requests with 500 before the earliest kill, although their
   * clients would have waited longer and their writers were at work.
   */
  @Test
  void requestsTakenInTimeKeepTheirOwnDeadlines() throws Exception {
    StreamPace pace = new StreamPace(1_800_000, 1, 50_000, 10, 1, MAX_TOKENS);
    try (ProcessFleet fleet = startFleet(shape(SHORT_DEADLINE_MILLIS, pace))) {
      SingleCalls calls = startCalls(fleet, List.of(CallEffect.ONCE));
      sleepMillis(300);
      fleet.gateways().get(0).terminate(KILL_MILLIS);
      calls.await();
      assertEquals(List.of(), calls.notServed());
    }
  }

  /** Guards what held before: the same streams without a shutdown. */
  @Test
  void pausedStreamsAreServedWholeWithoutSignal() throws Exception {
    StreamPace pace = new StreamPace(FIRST_TOKEN_MICROS, 8, 50_000, 7, 1, MAX_TOKENS);
    try (ProcessFleet fleet = startFleet(shape(SHORT_DEADLINE_MILLIS, pace))) {
      SingleCalls calls = startCalls(fleet, List.of(CallEffect.SAFE, CallEffect.ONCE));
      sleepMillis(SENT_BEFORE_SIGNAL_MILLIS);
      pauseHalfOfTheWriters(fleet, 0, 2_000);
      calls.await();
      assertEquals(List.of(), calls.notServed());
    }
  }

  /** Terminates the gateway under streams, while something happens to the fleet. */
  private void assertAllServed(
      FleetShape shape, Consumer<ProcessFleet> disturbance, long killAtMillis) throws Exception {
    try (ProcessFleet fleet = startFleet(shape)) {
      final SingleCalls calls = startCalls(fleet, List.of(CallEffect.SAFE, CallEffect.ONCE));
      sleepMillis(SENT_BEFORE_SIGNAL_MILLIS);
      DaemonThreads.start("disturbance", () -> disturbance.accept(fleet));
      fleet.gateways().get(0).terminate(killAtMillis);
      calls.await();
      assertEquals(List.of(), calls.notServed());
    }
  }

  private static FleetShape shape(long deadlineMillis, StreamPace pace) {
    return new FleetShape(1, 4, 4, 500, deadlineMillis, CLIENTS, 15_000, 250, pace);
  }

  private ProcessFleet startFleet(FleetShape shape) throws Exception {
    ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, Optional.empty(), 66);
    fleet.start();
    return fleet;
  }

  /** Starts all clients; their calls have the given effects in turn. */
  private static SingleCalls startCalls(ProcessFleet fleet, List<CallEffect> effects) {
    SingleCalls calls = new SingleCalls("sound", fleet.gateways().get(0), MAX_TOKENS);
    for (int i = 0; i < CLIENTS; i++) {
      calls.start(effects.get(i % effects.size()), CLIENT_DEADLINE_MILLIS);
    }
    return calls;
  }

  private static void pauseHalfOfTheWriters(ProcessFleet fleet, long atMillis, long millis) {
    List<ModelServer> writers =
        fleet.servers().stream()
            .filter(server -> server.role() == ServerRole.WRITER)
            .limit(fleet.shape().writers() / 2)
            .toList();
    sleepMillis(atMillis);
    writers.forEach(server -> server.setHanging(true));
    sleepMillis(millis);
    writers.forEach(server -> server.setHanging(false));
  }

  private static void sleepMillis(long millis) {
    MonotonicClock.sleepMicros(TimeUnit.MILLISECONDS.toMicros(millis));
  }
}
