package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A gateway that handles a request late states only the remaining time to servers. */
@Timeout(60)
class StatedDeadlineTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final long LOAD_BEFORE_FREEZES_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);
  private static final long LOAD_AFTER_FREEZES_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);
  private static final long PAUSE_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
  private static final long MEAN_THINK_MICROS = TimeUnit.MILLISECONDS.toMicros(60);

  private static final int NEW_CLIENTS = 40;
  private static final int PROMPT_CHARACTERS = 400;

  /** The usual load of a gateway; with many more clients it would reject requests. */
  private static final int CLIENTS = 12;

  private static final FleetShape SHAPE = new FleetShape(1, 3, 4, 500, 3_500, CLIENTS, 15_000, 250);

  @TempDir Path folder;

  /** A request that arrived while the process was stopped has waited since then. */
  @Test
  void statesRemainingTimeAfterShortFreezes() throws Exception {
    assertEquals(List.of(), breachesWithFreezes(400, 8));
  }

  @Test
  void statesRemainingTimeAfterLongFreezes() throws Exception {
    assertEquals(List.of(), breachesWithFreezes(2_000, 2));
  }

  /**
   * Connections that the kernel accepted during the freeze, and the requests on them, have waited
   * for as long as the freeze lasted.
   */
  @Test
  void statesRemainingTimeForNewClientsOfAFrozenGateway() throws Exception {
    try (ProcessFleet fleet = newFleet()) {
      fleet.start();
      GatewayProcess gateway = fleet.gateways().get(0);
      gateway.signal("STOP");
      List<ClientConnection> connections = new ArrayList<>();
      for (int i = 0; i < NEW_CLIENTS; i++) {
        connections.add(sendCall(fleet, gateway, "crowd-" + i));
      }
      MonotonicClock.sleepMicros(PAUSE_MICROS);
      gateway.signal("CONT");
      int answered = 0;
      for (ClientConnection connection : connections) {
        answered += connection.readAnswer((int) SHAPE.deadlineMs()).isPresent() ? 1 : 0;
        connection.close();
      }
      assertEquals(NEW_CLIENTS, answered);
      assertEquals(List.of(), deadlineBreaches(fleet));
    }
  }

  private static ClientConnection sendCall(ProcessFleet fleet, GatewayProcess gateway, String id)
      throws IOException {
    ClientCall call =
        new ClientCall(
            id,
            gateway.name(),
            CallEffect.SAFE,
            TimeUnit.MILLISECONDS.toMicros(SHAPE.deadlineMs()));
    ClientConnection connection = ClientConnection.open(gateway.port());
    String request = ChatRequest.format(call, PROMPT_CHARACTERS, 0);
    fleet.runRecord().addCall(call);
    call.markSent();
    connection.write(request);
    return connection;
  }

  private ProcessFleet newFleet() throws IOException {
    return new ProcessFleet(SHAPE, PROJECT, folder, Optional.empty(), 42);
  }

  private static List<Breach> deadlineBreaches(ProcessFleet fleet) {
    assertTrue(!fleet.runRecord().arrivals().isEmpty(), "no attempt reached a server");
    return new SoakAuditor(fleet.runRecord(), SHAPE, (name, server, from, until) -> true)
        .audit().stream().filter(breach -> breach.rule() == Rule.DEADLINE_TOLD).toList();
  }

  private List<Breach> breachesWithFreezes(long freezeMillis, int freezes) throws Exception {
    try (ProcessFleet fleet = newFleet()) {
      fleet.start();
      GatewayProcess gateway = fleet.gateways().get(0);
      List<LoadClient> clients = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        LoadClient.Options options =
            new LoadClient.Options(SHAPE.deadlineMs(), MEAN_THINK_MICROS, i);
        LoadClient client = new LoadClient("c" + i, gateway, fleet.runRecord(), options);
        clients.add(client);
        threads.add(DaemonThreads.start("client", client));
      }
      MonotonicClock.sleepMicros(LOAD_BEFORE_FREEZES_MICROS);
      for (int i = 0; i < freezes; i++) {
        gateway.signal("STOP");
        MonotonicClock.sleepMicros(TimeUnit.MILLISECONDS.toMicros(freezeMillis));
        gateway.signal("CONT");
        MonotonicClock.sleepMicros(PAUSE_MICROS);
      }
      MonotonicClock.sleepMicros(LOAD_AFTER_FREEZES_MICROS);
      clients.forEach(LoadClient::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      assertTrue(fleet.runRecord().calls().size() > CLIENTS * 3, "too few calls were sent");
      return deadlineBreaches(fleet);
    }
  }
}
