package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import lemondock.faultinjection.FaultProxy.Admission;
import lemondock.faultinjection.FaultProxy.Flow;
import lemondock.faultinjection.FaultProxy.Link;
import lemondock.faultinjection.SoakAuditor.Breach;
import lemondock.faultinjection.SoakAuditor.Rule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Incident 36 and its relatives: connections that are up, take bytes and say nothing, while a
 * reader holds a state.
 */
@Timeout(60)
class HeldStateTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final long BEFORE = 1_500 * MonotonicClock.MILLI;
  private static final long SILENCE = 4_500 * MonotonicClock.MILLI;
  private static final long AFTER = 1_500 * MonotonicClock.MILLI;
  private static final int CLIENTS = 12;

  @TempDir Path folder;

  /** As reported: writes leave on connections that took them before, and never arrive. */
  @Test
  void aStateWhoseWriteNeverArrivesIsReleasedInTime() throws Exception {
    assertEquals(List.of(), heldWhile(server -> !server.reads, Flow.HOLD, Flow.HOLD));
  }

  /** The write arrives, or not; the gateway hears nothing either way. */
  @Test
  void aStateIsReleasedInTimeWhereRequestsAreHeldBackOneWay() throws Exception {
    assertEquals(List.of(), heldWhile(server -> !server.reads, Flow.HOLD, Flow.PASS));
  }

  /**
   * The read ends well, and its answer is held back: its state waits at the reader, and nobody says
   * so.
   */
  @Test
  void aStateWhoseReadsAnswerNeverArrivesIsReleasedInTime() throws Exception {
    assertEquals(
        List.of(),
        heldWhile(server -> server.reads && server.id.equals("r0"), Flow.PASS, Flow.HOLD));
  }

  /**
   * One gateway, two readers, three writers; for a while the links to some servers are silent. What
   * was held for too long.
   */
  private List<Breach> heldWhile(Predicate<ModelServer> silent, Flow toServer, Flow toClient)
      throws Exception {
    FleetShape shape = new FleetShape(1, 2, 3, 500, 3_500, CLIENTS, 15_000, 250);
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, Optional.empty(), 36)) {
      fleet.start();
      List<LoadClient> clients = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        LoadClient client =
            new LoadClient(
                "c" + i, fleet.gateways.get(0), fleet.truth, shape, 60 * MonotonicClock.MILLI, i);
        clients.add(client);
        threads.add(new Thread(client));
      }
      threads.forEach(Thread::start);
      MonotonicClock.sleep(BEFORE);
      List<Link> links = fleet.links(gateway -> true, silent);
      links.forEach(link -> link.set(toServer, toClient, Admission.ACCEPT));
      MonotonicClock.sleep(SILENCE);
      links.forEach(Link::heal);
      clients.forEach(LoadClient::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      MonotonicClock.sleep(AFTER);
      assertTrue(fleet.truth.calls.size() > CLIENTS * 3, "the test asks enough");
      List<Breach> breaches =
          new SoakAuditor(fleet.truth, shape, (gateway, server, from, until) -> false).audit();
      return breaches.stream().filter(breach -> breach.rule() == Rule.HELD).toList();
    }
  }
}
