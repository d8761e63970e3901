package lemondock.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EndpointRegistry;
import lemondock.dispatch.EndpointUpdate;
import lemondock.dispatch.StableHash;
import lemondock.policy.EndpointListKind;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerLifecycle;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which updates for the router the registry derives from endpoint lists. */
class EndpointRegistryTest {
  private static final long NOW_MICROS = 100_000_000;
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private final EndpointRegistry registry = new EndpointRegistry(List.of("reader", "writer"));

  private static Endpoint entry(
      String name, String kind, ServerLifecycle lifecycle, long startedAtMillis) {
    return new Endpoint(
        name,
        new InetSocketAddress("127.0.0.1", 9000 + name.charAt(0)),
        kind,
        "north",
        "r1",
        lifecycle,
        1,
        startedAtMillis);
  }

  private EndpointUpdate applyList(Endpoint... entries) {
    return registry.update(List.of(entries), false, NOW_MICROS, WALL_MILLIS);
  }

  @Test
  void theFirstListIsReportedInFullAndLaterOnesAsChanges() {
    assertEquals(
        EndpointListKind.FULL_LIST,
        applyList(
                entry("a", "reader", ServerLifecycle.READY, 0),
                entry("b", "writer", ServerLifecycle.READY, 0))
            .kind());
    EndpointUpdate unchanged =
        applyList(
            entry("a", "reader", ServerLifecycle.READY, 0),
            entry("b", "writer", ServerLifecycle.READY, 0));
    assertEquals(EndpointListKind.CHANGES, unchanged.kind());
    assertEquals(List.of(), unchanged.servers());
    EndpointUpdate changed = applyList(entry("a", "reader", ServerLifecycle.DRAINING, 0));
    assertEquals(
        List.of(ServerLifecycle.DRAINING, ServerLifecycle.GONE),
        changed.servers().stream().map(ServerEntry::lifecycle).toList());
  }

  /** A change of a list with thousands of endpoints must not hash each of them again. */
  @Test
  void anUnchangedEndpointKeepsItsIdWithoutHashingAgain() {
    AtomicInteger computedIds = new AtomicInteger();
    EndpointRegistry countingRegistry =
        new EndpointRegistry(
            List.of("reader", "writer"),
            server -> {
              computedIds.incrementAndGet();
              return StableHash.of(server.name());
            });
    List<Endpoint> listed = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      listed.add(entry("s" + i, "reader", ServerLifecycle.READY, WALL_MILLIS - i));
    }
    final List<ServerEntry> first =
        countingRegistry.update(listed, false, NOW_MICROS, WALL_MILLIS).servers();
    assertEquals(100, computedIds.get());
    listed.set(3, entry("s3", "reader", ServerLifecycle.DRAINING, WALL_MILLIS - 3));
    listed.remove(7);
    List<ServerEntry> changes =
        countingRegistry.update(listed, false, NOW_MICROS + 5, WALL_MILLIS + 3).servers();
    assertEquals(101, computedIds.get());
    assertEquals(
        List.of(ServerLifecycle.DRAINING, ServerLifecycle.GONE),
        changes.stream().map(ServerEntry::lifecycle).toList());
    assertEquals(
        List.of(first.get(3).id(), first.get(7).id()),
        changes.stream().map(ServerEntry::id).toList());
    assertEquals(
        List.of(listed.get(5).name() + ": listed twice under " + listed.get(5).address()),
        countingRegistry
            .update(List.of(listed.get(5), listed.get(5)), false, NOW_MICROS, WALL_MILLIS)
            .skipped());
    assertEquals(1, countingRegistry.size());
  }

  /**
   * A step of the wall clock must not make a server that has just started appear older, nor change
   * the start time of a server that is already listed.
   */
  @ParameterizedTest
  @CsvSource({"0", "3600000", "-3600000", "5000", "-5000"})
  void aStepOfTheWallClockDoesNotMakeANewServerOlder(long stepMillis) {
    long secondMicros = 1_000_000;
    applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000));
    long laterMicros = NOW_MICROS + 20 * secondMicros;
    List<ServerEntry> changes =
        registry
            .update(
                List.of(
                    entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000),
                    entry("b", "reader", ServerLifecycle.READY, WALL_MILLIS + 19_000)),
                false,
                laterMicros,
                WALL_MILLIS + 20_000 + stepMillis)
            .servers();
    assertEquals(1, changes.size(), "a server that is already listed keeps its start time");
    assertTrue(
        changes.get(0).startedAtMicros() >= laterMicros - secondMicros,
        "started " + (laterMicros - changes.get(0).startedAtMicros()) / secondMicros + " s ago");
    assertTrue(changes.get(0).startedAtMicros() <= laterMicros);
  }

  /**
   * The wall clock has been wrong since the start of this gateway, but the last list contained an
   * earlier process of the server. The new process is therefore younger than that list.
   */
  @Test
  void aReplacementProcessIsNotOlderThanTheLastList() {
    long hourMillis = 3_600_000;
    registry.update(
        List.of(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000)),
        false,
        NOW_MICROS,
        WALL_MILLIS + hourMillis);
    long laterMicros = NOW_MICROS + 2_000_000;
    List<ServerEntry> changes =
        registry
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS + 1_000)),
                false,
                laterMicros,
                WALL_MILLIS + hourMillis + 2_000)
            .servers();
    assertTrue(
        changes.get(0).startedAtMicros() >= NOW_MICROS,
        "started " + (laterMicros - changes.get(0).startedAtMicros()) / 1_000_000 + " s ago");
  }

  /**
   * A server that has been running for some time may appear for the first time in a later list, for
   * example after a list that was empty by mistake.
   */
  @Test
  void aServerFirstListedLaterKeepsItsListedStartTime() {
    applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000));
    List<ServerEntry> changes =
        applyList(
                entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000),
                entry("b", "reader", ServerLifecycle.READY, WALL_MILLIS - 50_000))
            .servers();
    assertEquals(
        List.of(NOW_MICROS - 50_000_000),
        changes.stream().map(ServerEntry::startedAtMicros).toList());
  }

  /** A server that was not listed for a while is still the same process. */
  @Test
  void aServerThatReturnsToTheListKeepsItsStartTime() {
    long startedAt =
        applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000))
            .servers()
            .get(0)
            .startedAtMicros();
    applyList();
    assertEquals(
        startedAt,
        registry
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000)),
                false,
                NOW_MICROS + 1_000_000,
                WALL_MILLIS + 1_000)
            .servers()
            .get(0)
            .startedAtMicros());
  }

  @Test
  void aRequiredFullUpdateReportsTheNextListInFull() {
    applyList(entry("a", "reader", ServerLifecycle.READY, 0));
    registry.requireFullUpdate();
    assertEquals(
        EndpointListKind.FULL_LIST,
        applyList(entry("a", "reader", ServerLifecycle.READY, 0)).kind());
    assertEquals(
        EndpointListKind.CACHED, registry.update(List.of(), true, NOW_MICROS, WALL_MILLIS).kind());
  }

  @Test
  void idsAreTheSameInEveryGatewayAndAfterRestart() {
    long id = applyList(entry("a", "reader", ServerLifecycle.READY, 0)).servers().get(0).id();
    long otherGatewayId =
        new EndpointRegistry(List.of("writer", "reader"))
            .update(
                List.of(
                    entry("x", "writer", ServerLifecycle.READY, 0),
                    entry("a", "reader", ServerLifecycle.READY, 5)),
                false,
                1,
                1)
            .servers()
            .get(1)
            .id();
    assertEquals(id, otherGatewayId);
  }

  @Test
  void convertsAStartTimeOnceUntilItChanges() {
    long first =
        applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 2_000))
            .servers()
            .get(0)
            .startedAtMicros();
    assertEquals(NOW_MICROS - 2_000_000, first);
    assertEquals(
        List.of(),
        registry
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 2_000)),
                false,
                NOW_MICROS + 7,
                WALL_MILLIS + 900)
            .servers()); // a drift between the clocks does not indicate a new process
    assertNotEquals(
        first,
        applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 1_000))
            .servers()
            .get(0)
            .startedAtMicros());
    assertEquals(
        NOW_MICROS,
        applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS + 60_000))
            .servers()
            .get(0)
            .startedAtMicros());
  }

  @Test
  void unusableEntriesAreSkippedWithAReason() {
    EndpointUpdate changes =
        applyList(
            entry("a", "painter", ServerLifecycle.READY, 0),
            entry("b", "reader", ServerLifecycle.READY, 0),
            entry("b", "reader", ServerLifecycle.READY, 0));
    assertEquals(1, changes.servers().size());
    assertEquals(2, changes.skipped().size());
    assertTrue(changes.skipped().get(0).contains("painter"));
  }

  @Test
  void anEndpointThatLeftTheListIsStillFoundById() {
    long id = applyList(entry("a", "reader", ServerLifecycle.READY, 0)).servers().get(0).id();
    applyList();
    assertEquals("a", registry.find(id).orElseThrow().name());
    assertEquals(0, registry.size());
  }
}
