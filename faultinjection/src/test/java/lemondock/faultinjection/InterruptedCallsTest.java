package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import lemondock.faultinjection.FaultShim.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs a gateway whose system calls fail in ways that Linux documents, with no other fault. */
@Timeout(60)
class InterruptedCallsTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final long LOAD_MICROS = TimeUnit.SECONDS.toMicros(3);
  private static final long SETTLE_MICROS = TimeUnit.SECONDS.toMicros(1);
  private static final long THINK_MICROS = TimeUnit.MILLISECONDS.toMicros(40);
  private static final long FAILURES_PER_MILLION = 150_000;

  /** Calls of {@code epoll_ctl} are rare: most reads and writes complete at once. */
  private static final long POLL_FAILURES_PER_MILLION = 20_000;

  private static final long ALL_CALLS_PER_MILLION = 1_000_000;
  private static final long EXHAUSTION_MICROS = TimeUnit.MILLISECONDS.toMicros(100);
  private static final int EXHAUSTIONS = 3;
  private static final int CLIENTS = 8;

  @TempDir Path folder;

  /** An action on a fleet whose clients have ended. */
  private interface FleetAction {
    void apply(ProcessFleet fleet) throws Exception;
  }

  /**
   * Interrupted and short reads and writes must not be taken for a broken connection: every stream
   * arrives complete.
   */
  @Test
  void interruptedAndShortTransfersKeepStreamsComplete() throws Exception {
    Set<CallOutcome> outcomes = outcomesWith(Fault.INTERRUPT, Fault.SHORTEN);
    assertTrue(
        EnumSet.of(CallOutcome.SERVED, CallOutcome.LEFT).containsAll(outcomes),
        outcomes.toString());
  }

  /**
   * Temporary failures to open sockets may delay a request or cause its rejection, but must not
   * leave it unanswered.
   */
  @Test
  void failingAcceptsAndConnectsLeaveNoRequestUnanswered() throws Exception {
    Set<CallOutcome> outcomes = outcomesWith(Fault.ACCEPT, Fault.SOCKET, Fault.CONNECT);
    assertTrue(
        EnumSet.of(CallOutcome.SERVED, CallOutcome.LEFT, CallOutcome.REFUSED).containsAll(outcomes),
        outcomes.toString());
  }

  /**
   * A read or write that fails for lack of memory or of a route must not be taken for a broken
   * connection: every stream arrives complete (report 18fc18).
   */
  @Test
  void readsAndWritesThatFailForAMomentKeepStreamsComplete() throws Exception {
    Set<CallOutcome> outcomes = outcomesWith(Fault.TRANSFER);
    assertTrue(
        EnumSet.of(CallOutcome.SERVED, CallOutcome.LEFT).containsAll(outcomes),
        outcomes.toString());
  }

  /** A failed {@code epoll_ctl} must neither end connections nor the thread that serves them. */
  @Test
  void failedPollRegistrationsKeepStreamsComplete() throws Exception {
    Set<CallOutcome> outcomes = outcomesWith(POLL_FAILURES_PER_MILLION, Fault.POLL);
    assertTrue(
        EnumSet.of(CallOutcome.SERVED, CallOutcome.LEFT).containsAll(outcomes),
        outcomes.toString());
  }

  /** A socket option that cannot be set must not end a connection. */
  @Test
  void failedSocketOptionsLeaveNoRequestUnanswered() throws Exception {
    Set<CallOutcome> outcomes = outcomesWith(ALL_CALLS_PER_MILLION, Fault.OPTION);
    assertTrue(
        EnumSet.of(CallOutcome.SERVED, CallOutcome.LEFT).containsAll(outcomes),
        outcomes.toString());
  }

  /** A gateway that starts while no socket can be opened must start as soon as one can. */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"SOCKET", "OPTION"})
  void startSurvivesCallsThatFailForAMoment(Fault fault) throws Exception {
    Optional<Path> library = FaultShim.compile(PROJECT, folder);
    assumeTrue(library.isPresent(), "no C compiler");
    FleetShape shape = new FleetShape(1, 1, 1, 500, 3_000, CLIENTS, 15_000, 250);
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, library, 5)) {
      FaultShim shim = fleet.gateways().get(0).shim().orElseThrow();
      shim.setFailureRate(fault, ALL_CALLS_PER_MILLION);
      Thread healer =
          DaemonThreads.start(
              "heal",
              () -> {
                MonotonicClock.sleepMicros(SETTLE_MICROS);
                shim.heal();
              });
      fleet.start();
      healer.join();
    }
  }

  /** Calls that fail without exception for a whole period delay streams, but end none. */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"TRANSFER", "POLL"})
  void exhaustionThatLastsKeepsStreamsComplete(Fault fault) throws Exception {
    Set<CallOutcome> outcomes =
        outcomesOfLoad(
            shim -> {
              for (int i = 0; i < EXHAUSTIONS; i++) {
                MonotonicClock.sleepMicros(LOAD_MICROS / EXHAUSTIONS - EXHAUSTION_MICROS);
                shim.setFailureRate(fault, ALL_CALLS_PER_MILLION);
                MonotonicClock.sleepMicros(EXHAUSTION_MICROS);
                shim.setFailureRate(fault, 0);
              }
            });
    assertTrue(
        EnumSet.of(CallOutcome.SERVED, CallOutcome.LEFT, CallOutcome.REFUSED).containsAll(outcomes),
        outcomes.toString());
  }

  /** After failures of all kinds the process still ends on SIGTERM, before it may be killed. */
  @Test
  void processEndsOnTerminationAfterFailedCalls() throws Exception {
    outcomesOfLoad(
        shim -> {
          for (Fault fault : List.of(Fault.TRANSFER, Fault.POLL, Fault.OPTION)) {
            shim.setFailureRate(fault, POLL_FAILURES_PER_MILLION);
          }
          MonotonicClock.sleepMicros(LOAD_MICROS);
          shim.heal();
        },
        fleet -> {
          GatewayProcess gateway = fleet.gateways().get(0);
          GatewayIncarnation incarnation =
              fleet
                  .runRecord()
                  .incarnationAt(gateway.name(), MonotonicClock.nowMicros())
                  .orElseThrow();
          gateway.terminate(fleet.shape().killAfterMs());
          assertFalse(incarnation.wasKilled(), "the process did not end on SIGTERM");
        });
  }

  private Set<CallOutcome> outcomesWith(Fault... faults) throws Exception {
    return outcomesWith(FAILURES_PER_MILLION, faults);
  }

  private Set<CallOutcome> outcomesWith(long failuresPerMillion, Fault... faults) throws Exception {
    return outcomesOfLoad(
        shim -> {
          for (Fault fault : faults) {
            shim.setFailureRate(fault, failuresPerMillion);
          }
          MonotonicClock.sleepMicros(LOAD_MICROS);
        });
  }

  private Set<CallOutcome> outcomesOfLoad(Consumer<FaultShim> faults) throws Exception {
    return outcomesOfLoad(faults, fleet -> {});
  }

  /**
   * Runs clients against one gateway while faults are injected, and checks all rules.
   *
   * @param faults injects faults for as long as the clients should run
   * @param afterLoad run once the clients have ended and the faults have been removed
   * @return how the clients' calls ended
   */
  private Set<CallOutcome> outcomesOfLoad(Consumer<FaultShim> faults, FleetAction afterLoad)
      throws Exception {
    Optional<Path> library = FaultShim.compile(PROJECT, folder);
    assumeTrue(library.isPresent(), "no C compiler");
    FleetShape shape = new FleetShape(1, 2, 2, 500, 3_000, CLIENTS, 15_000, 250);
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, library, 5)) {
      fleet.start();
      List<LoadClient> clients = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        LoadClient.Options options = new LoadClient.Options(shape.deadlineMs(), THINK_MICROS, i);
        clients.add(new LoadClient("c" + i, fleet.gateways().get(0), fleet.runRecord(), options));
        threads.add(new Thread(clients.get(i)));
      }
      threads.forEach(Thread::start);
      faults.accept(fleet.gateways().get(0).shim().orElseThrow());
      clients.forEach(LoadClient::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      MonotonicClock.sleepMicros(SETTLE_MICROS);
      fleet.heal();
      afterLoad.apply(fleet);
      assertEquals(
          List.of(),
          new SoakAuditor(fleet.runRecord(), shape, (gateway, server, from, until) -> true)
              .audit());
      assertTrue(fleet.runRecord().calls().size() > CLIENTS * 3, "too few calls were sent");
      return fleet.runRecord().calls().stream()
          .map(ClientCall::outcome)
          .collect(Collectors.toSet());
    }
  }
}
