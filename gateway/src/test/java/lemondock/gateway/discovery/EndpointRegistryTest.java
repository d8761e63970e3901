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

class EndpointRegistryTest {
  private static final long NOW_MICROS = 100_000_000;
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private final EndpointRegistry registry = new EndpointRegistry(List.of("reader", "writer"));

  private static Endpoint entry(
      String name, String kind, ServerLifecycle standing, long startedAt) {
    return new Endpoint(
        name,
        new InetSocketAddress("127.0.0.1", 9000 + name.charAt(0)),
        kind,
        "north",
        "r1",
        standing,
        1,
        startedAt);
  }

  private EndpointUpdate applyList(Endpoint... entries) {
    return registry.update(List.of(entries), false, NOW_MICROS, WALL_MILLIS);
  }

  @Test
  void theFirstListIsCompleteAndLaterOnesAreChanges() {
    assertEquals(
        EndpointListKind.FULL_LIST,
        applyList(
                entry("a", "reader", ServerLifecycle.READY, 0),
                entry("b", "writer", ServerLifecycle.READY, 0))
            .kind());
    EndpointUpdate none =
        applyList(
            entry("a", "reader", ServerLifecycle.READY, 0),
            entry("b", "writer", ServerLifecycle.READY, 0));
    assertEquals(EndpointListKind.CHANGES, none.kind());
    assertEquals(List.of(), none.servers());
    EndpointUpdate drain = applyList(entry("a", "reader", ServerLifecycle.DRAINING, 0));
    assertEquals(
        List.of(ServerLifecycle.DRAINING, ServerLifecycle.GONE),
        drain.servers().stream().map(ServerEntry::lifecycle).toList());
  }

  /** A change of a list of thousands must not cost a hash for each of them. */
  @Test
  void anUnchangedEndpointKeepsItsIdWithoutHashingAgain() {
    AtomicInteger numbered = new AtomicInteger();
    EndpointRegistry counted =
        new EndpointRegistry(
            List.of("reader", "writer"),
            server -> {
              numbered.incrementAndGet();
              return StableHash.of(server.name());
            });
    List<Endpoint> listed = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      listed.add(entry("s" + i, "reader", ServerLifecycle.READY, WALL_MILLIS - i));
    }
    final List<ServerEntry> first =
        counted.update(listed, false, NOW_MICROS, WALL_MILLIS).servers();
    assertEquals(100, numbered.get());
    listed.set(3, entry("s3", "reader", ServerLifecycle.DRAINING, WALL_MILLIS - 3));
    listed.remove(7);
    List<ServerEntry> changes =
        counted.update(listed, false, NOW_MICROS + 5, WALL_MILLIS + 3).servers();
    assertEquals(101, numbered.get());
    assertEquals(
        List.of(ServerLifecycle.DRAINING, ServerLifecycle.GONE),
        changes.stream().map(ServerEntry::lifecycle).toList());
    assertEquals(
        List.of(first.get(3).id(), first.get(7).id()),
        changes.stream().map(ServerEntry::id).toList());
    assertEquals(
        List.of(listed.get(5).name() + ": listed twice under " + listed.get(5).address()),
        counted
            .update(List.of(listed.get(5), listed.get(5)), false, NOW_MICROS, WALL_MILLIS)
            .skipped());
    assertEquals(1, counted.size());
  }

  /**
   * A wall clock that steps must not make a server that has just started look warm, nor an old one
   * look new.
   */
  @ParameterizedTest
  @CsvSource({"0", "3600000", "-3600000", "5000", "-5000"})
  void aStepOfTheWallClockDoesNotMakeANewServerLookWarm(long step) {
    long second = 1_000_000;
    applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000));
    long later = NOW_MICROS + 20 * second;
    List<ServerEntry> news =
        registry
            .update(
                List.of(
                    entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000),
                    entry("b", "reader", ServerLifecycle.READY, WALL_MILLIS + 19_000)),
                false,
                later,
                WALL_MILLIS + 20_000 + step)
            .servers();
    assertEquals(1, news.size(), "what is known keeps its start");
    assertTrue(
        news.get(0).startedAtMicros() >= later - second,
        "started " + (later - news.get(0).startedAtMicros()) / second + " s ago");
    assertTrue(news.get(0).startedAtMicros() <= later);
  }

  /**
   * The clock was wrong from the start of this gateway, and the last list had an earlier process of
   * the server.
   */
  @Test
  void aReplacementProcessIsNotOlderThanTheLastList() {
    long hour = 3_600_000;
    registry.update(
        List.of(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000)),
        false,
        NOW_MICROS,
        WALL_MILLIS + hour);
    long later = NOW_MICROS + 2_000_000;
    List<ServerEntry> news =
        registry
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS + 1_000)),
                false,
                later,
                WALL_MILLIS + hour + 2_000)
            .servers();
    assertTrue(
        news.get(0).startedAtMicros() >= NOW_MICROS,
        "started " + (later - news.get(0).startedAtMicros()) / 1_000_000 + " s ago");
  }

  /**
   * A list may be the first to have a server that has run for long, as after one that was emptied
   * by mistake.
   */
  @Test
  void aServerFirstListedLateIsAsOldAsItsStartTime() {
    applyList(entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000));
    List<ServerEntry> news =
        applyList(
                entry("a", "reader", ServerLifecycle.READY, WALL_MILLIS - 60_000),
                entry("b", "reader", ServerLifecycle.READY, WALL_MILLIS - 50_000))
            .servers();
    assertEquals(
        List.of(NOW_MICROS - 50_000_000), news.stream().map(ServerEntry::startedAtMicros).toList());
  }

  /** One that was off the list for a while is the process that it was. */
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
  void afterAnOutageTheNextUpdateIsComplete() {
    applyList(entry("a", "reader", ServerLifecycle.READY, 0));
    registry.requireFullUpdate();
    assertEquals(
        EndpointListKind.FULL_LIST,
        applyList(entry("a", "reader", ServerLifecycle.READY, 0)).kind());
    assertEquals(
        EndpointListKind.CACHED, registry.update(List.of(), true, NOW_MICROS, WALL_MILLIS).kind());
  }

  @Test
  void idsAreTheSameInEveryGatewayAndIncarnation() {
    long here = applyList(entry("a", "reader", ServerLifecycle.READY, 0)).servers().get(0).id();
    long there =
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
    assertEquals(here, there);
  }

  @Test
  void aStartTimeIsConvertedOnceAndADifferentOneIsANewProcess() {
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
            .servers()); // clocks that drift apart do not make a new process
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
    EndpointUpdate news =
        applyList(
            entry("a", "painter", ServerLifecycle.READY, 0),
            entry("b", "reader", ServerLifecycle.READY, 0),
            entry("b", "reader", ServerLifecycle.READY, 0));
    assertEquals(1, news.servers().size());
    assertEquals(2, news.skipped().size());
    assertTrue(news.skipped().get(0).contains("painter"));
  }

  @Test
  void anEndpointThatLeftTheListIsStillFoundById() {
    long id = applyList(entry("a", "reader", ServerLifecycle.READY, 0)).servers().get(0).id();
    applyList();
    assertEquals("a", registry.find(id).orElseThrow().name());
    assertEquals(0, registry.size());
  }
}
