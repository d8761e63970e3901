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
 * Guards against incident 36 and its variants: connections to some servers stay open and accept
 * bytes but deliver none, while a reader holds reserved state that has to be released.
 */
@Timeout(60)
class HeldStateTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final long LOAD_BEFORE_SILENCE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);
  private static final long SILENCE_MICROS = TimeUnit.MILLISECONDS.toMicros(4_500);
  private static final long SETTLE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);
  private static final long MEAN_THINK_MICROS = TimeUnit.MILLISECONDS.toMicros(60);
  private static final int CLIENTS = 12;
  private static final long USUAL_RELEASE_LIMIT_MILLIS = 500;
  private static final long SHORT_RELEASE_LIMIT_MILLIS = 300;

  @TempDir Path folder;

  /**
   * As reported in the incident: writes are sent on connections that carried writes before, and
   * never arrive.
   */
  @Test
  void releasesStateInTimeWhenWriteNeverArrives() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            server -> server.role() == ServerRole.WRITER, LinkFlow.HOLD, LinkFlow.HOLD));
  }

  /**
   * Only bytes to the writers are held back: a write that is sent meanwhile does not arrive, and
   * the gateway receives no answer to it.
   */
  @Test
  void releasesStateInTimeWhenOnlyRequestsAreHeldBack() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            server -> server.role() == ServerRole.WRITER, LinkFlow.HOLD, LinkFlow.PASS));
  }

  /**
   * The read (prefill) succeeds but its answer is held back: the reader holds the state, and the
   * gateway is not notified of it.
   */
  @Test
  void releasesStateInTimeWhenAnswerOfReadNeverArrives() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(server -> server.id().equals("r0"), LinkFlow.PASS, LinkFlow.HOLD));
  }

  /** The release limit is far shorter than the latency objective of the request class. */
  @Test
  void releasesLostReadWithinLimitBelowLatencyObjective() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            shape(SHORT_RELEASE_LIMIT_MILLIS),
            server -> server.id().equals("r0"),
            LinkFlow.PASS,
            LinkFlow.HOLD));
  }

  /** A read whose answer is lost is retried at another reader, whose answer is lost too. */
  @Test
  void releasesLostReadsInTimeWhenEveryReaderIsSilent() throws Exception {
    assertEquals(
        List.of(),
        breachesWhileSilent(
            shape(SHORT_RELEASE_LIMIT_MILLIS),
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
        shape(USUAL_RELEASE_LIMIT_MILLIS), silentServers, flowToServer, flowToClient);
  }

  /**
   * Runs one gateway, two readers and three writers under load, makes the links to some servers
   * silent for a while, and returns the breaches by states that were held for too long.
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
        LoadClient.Options options =
            new LoadClient.Options(shape.deadlineMs(), MEAN_THINK_MICROS, i);
        LoadClient client =
            new LoadClient("c" + i, fleet.gateways().get(0), fleet.runRecord(), options);
        clients.add(client);
        threads.add(new Thread(client));
      }
      threads.forEach(Thread::start);
      MonotonicClock.sleepMicros(LOAD_BEFORE_SILENCE_MICROS);
      List<ProxyLink> links = fleet.links(gateway -> true, silentServers);
      links.forEach(link -> link.setFault(flowToServer, flowToClient, LinkAdmission.ACCEPT));
      MonotonicClock.sleepMicros(SILENCE_MICROS);
      links.forEach(ProxyLink::heal);
      clients.forEach(LoadClient::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      MonotonicClock.sleepMicros(SETTLE_MICROS);
      assertTrue(fleet.runRecord().calls().size() > CLIENTS * 3, "too few calls were sent");
      List<Breach> breaches =
          new SoakAuditor(fleet.runRecord(), shape, (gateway, server, from, until) -> false)
              .audit();
      return breaches.stream().filter(breach -> breach.rule() == Rule.HELD).toList();
    }
  }
}
