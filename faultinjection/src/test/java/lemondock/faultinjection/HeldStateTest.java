package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
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
  private static final long BEFORE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);
  private static final long SILENCE_MICROS = TimeUnit.MILLISECONDS.toMicros(4_500);
  private static final long AFTER_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);
  private static final long THINK_MICROS = TimeUnit.MILLISECONDS.toMicros(60);
  private static final int CLIENTS = 12;
  private static final long USUAL_LIMIT_MILLIS = 500;
  private static final long SHORT_LIMIT_MILLIS = 300;

  @TempDir Path folder;

  /** As reported: writes leave on connections that took them before, and never arrive. */
  @Test
  void aStateWhoseWriteNeverArrivesIsReleasedInTime() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            server -> server.role() == ServerRole.WRITER, LinkFlow.HOLD, LinkFlow.HOLD));
  }

  /** The write arrives, or not; the gateway hears nothing either way. */
  @Test
  void aStateIsReleasedInTimeWhereRequestsAreHeldBackOneWay() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            server -> server.role() == ServerRole.WRITER, LinkFlow.HOLD, LinkFlow.PASS));
  }

  /**
   * The read ends well, and its answer is held back: its state waits at the reader, and nobody says
   * so.
   */
  @Test
  void aStateWhoseReadsAnswerNeverArrivesIsReleasedInTime() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(server -> server.id().equals("r0"), LinkFlow.PASS, LinkFlow.HOLD));
  }

  /** The limit is far shorter than the time in which the class wants its first token. */
  @Test
  void aLostReadIsReleasedWithinALimitShorterThanTheObjective() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            shape(SHORT_LIMIT_MILLIS),
            server -> server.id().equals("r0"),
            LinkFlow.PASS,
            LinkFlow.HOLD));
  }

  /** A lost read that is moved to another reader is lost there too. */
  @Test
  void lostReadsAreReleasedInTimeWhereEveryReaderIsSilent() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            shape(SHORT_LIMIT_MILLIS),
            server -> server.role() == ServerRole.READER,
            LinkFlow.PASS,
            LinkFlow.HOLD));
  }

  private static FleetShape shape(long releaseWithinMillis) {
    return new FleetShape(1, 2, 3, releaseWithinMillis, 3_500, CLIENTS, 15_000, 250);
  }

  private List<Breach> breachesWhileSilent(
      Predicate<ModelServer> silentServers, LinkFlow flowToServer, LinkFlow flowToClient)
      throws Exception {
    return breachesWhileSilent(
        shape(USUAL_LIMIT_MILLIS), silentServers, flowToServer, flowToClient);
  }

  /**
   * One gateway, two readers, three writers; for a while the links to some servers are silent. What
   * was held for too long.
   */
  private List<Breach> breachesWhileSilent(
      FleetShape shape,
      Predicate<ModelServer> silentServers,
      LinkFlow flowToServer,
      LinkFlow flowToClient)
      throws Exception {
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, Optional.empty(), 36)) {
      fleet.start();
      List<LoadClient> clients = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        LoadClient.Options options = new LoadClient.Options(shape.deadlineMs(), THINK_MICROS, i);
        LoadClient client =
            new LoadClient("c" + i, fleet.gateways().get(0), fleet.runRecord(), options);
        clients.add(client);
        threads.add(new Thread(client));
      }
      threads.forEach(Thread::start);
      MonotonicClock.sleepMicros(BEFORE_MICROS);
      List<ProxyLink> links = fleet.links(gateway -> true, silentServers);
      links.forEach(link -> link.setFault(flowToServer, flowToClient, LinkAdmission.ACCEPT));
      MonotonicClock.sleepMicros(SILENCE_MICROS);
      links.forEach(ProxyLink::heal);
      clients.forEach(LoadClient::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      MonotonicClock.sleepMicros(AFTER_MICROS);
      assertTrue(fleet.runRecord().calls().size() > CLIENTS * 3, "the test asks enough");
      List<Breach> breaches =
          new SoakAuditor(fleet.runRecord(), shape, (gateway, server, from, until) -> false)
              .audit();
      return breaches.stream().filter(breach -> breach.rule() == Rule.HELD).toList();
    }
  }
}
