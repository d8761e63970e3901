package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import lemondock.faultinjection.FaultShim.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a gateway whose system calls fail in ways that Linux documents, with no other fault. */
@Timeout(60)
class InterruptedCallsTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final long LOAD_MICROS = TimeUnit.SECONDS.toMicros(3);
  private static final long SETTLE_MICROS = TimeUnit.SECONDS.toMicros(1);
  private static final long THINK_MICROS = TimeUnit.MILLISECONDS.toMicros(40);
  private static final long FAILURES_PER_MILLION = 150_000;
  private static final int CLIENTS = 8;

  @TempDir Path folder;

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

  private Set<CallOutcome> outcomesWith(Fault... faults) throws Exception {
    Optional<Path> library = FaultShim.compile(PROJECT, folder);
    assumeTrue(library.isPresent(), "no C compiler");
    FleetShape shape = new FleetShape(1, 2, 2, 500, 3_000, CLIENTS, 15_000, 250);
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, library, 5)) {
      fleet.start();
      for (Fault fault : faults) {
        fleet.gateways().get(0).shim().orElseThrow().setFailureRate(fault, FAILURES_PER_MILLION);
      }
      List<LoadClient> clients = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        LoadClient.Options options = new LoadClient.Options(shape.deadlineMs(), THINK_MICROS, i);
        clients.add(new LoadClient("c" + i, fleet.gateways().get(0), fleet.runRecord(), options));
        threads.add(new Thread(clients.get(i)));
      }
      threads.forEach(Thread::start);
      MonotonicClock.sleepMicros(LOAD_MICROS);
      clients.forEach(LoadClient::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      MonotonicClock.sleepMicros(SETTLE_MICROS);
      fleet.heal();
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
