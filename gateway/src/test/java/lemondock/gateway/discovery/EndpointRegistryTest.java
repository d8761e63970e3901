package lemondock.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
  private static final long NOW = 100_000_000;
  private static final long WALL = 1_700_000_000_000L;
  private final EndpointRegistry members = new EndpointRegistry(List.of("reader", "writer"));

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

  private EndpointUpdate hear(Endpoint... entries) {
    return members.update(List.of(entries), false, NOW, WALL);
  }

  @Test
  void theFirstListIsWholeAndLaterOnesAreChanges() {
    assertEquals(
        EndpointListKind.FULL_LIST,
        hear(
                entry("a", "reader", ServerLifecycle.READY, 0),
                entry("b", "writer", ServerLifecycle.READY, 0))
            .kind());
    EndpointUpdate none =
        hear(
            entry("a", "reader", ServerLifecycle.READY, 0),
            entry("b", "writer", ServerLifecycle.READY, 0));
    assertEquals(EndpointListKind.CHANGES, none.kind());
    assertEquals(List.of(), none.servers());
    EndpointUpdate drain = hear(entry("a", "reader", ServerLifecycle.DRAINING, 0));
    assertEquals(
        List.of(ServerLifecycle.DRAINING, ServerLifecycle.GONE),
        drain.servers().stream().map(ServerEntry::lifecycle).toList());
  }

  /** A change of a list of thousands must not cost a hash for each of them. */
  @Test
  void entriesThatComeAgainUnchangedAreNotNumberedAgain() {
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
      listed.add(entry("s" + i, "reader", ServerLifecycle.READY, WALL - i));
    }
    final List<ServerEntry> first = counted.update(listed, false, NOW, WALL).servers();
    assertEquals(100, numbered.get());
    listed.set(3, entry("s3", "reader", ServerLifecycle.DRAINING, WALL - 3));
    listed.remove(7);
    List<ServerEntry> changes = counted.update(listed, false, NOW + 5, WALL + 3).servers();
    assertEquals(101, numbered.get());
    assertEquals(
        List.of(ServerLifecycle.DRAINING, ServerLifecycle.GONE),
        changes.stream().map(ServerEntry::lifecycle).toList());
    assertEquals(
        List.of(first.get(3).id(), first.get(7).id()),
        changes.stream().map(ServerEntry::id).toList());
    assertEquals(
        List.of(listed.get(5).name() + ": listed twice under " + listed.get(5).address()),
        counted.update(List.of(listed.get(5), listed.get(5)), false, NOW, WALL).skipped());
    assertEquals(1, counted.size());
  }

  /**
   * A wall clock that steps must not make a server that has just started look warm, nor an old one
   * look new.
   */
  @ParameterizedTest
  @CsvSource({"0", "3600000", "-3600000", "5000", "-5000"})
  void aStepOfTheWallClockDoesNotMakeANewServerOld(long step) {
    long second = 1_000_000;
    hear(entry("a", "reader", ServerLifecycle.READY, WALL - 60_000));
    long later = NOW + 20 * second;
    List<ServerEntry> news =
        members
            .update(
                List.of(
                    entry("a", "reader", ServerLifecycle.READY, WALL - 60_000),
                    entry("b", "reader", ServerLifecycle.READY, WALL + 19_000)),
                false,
                later,
                WALL + 20_000 + step)
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
  void aProcessThatReplacesOneOfTheLastListIsNotOlderThanThat() {
    long hour = 3_600_000;
    members.update(
        List.of(entry("a", "reader", ServerLifecycle.READY, WALL - 60_000)),
        false,
        NOW,
        WALL + hour);
    long later = NOW + 2_000_000;
    List<ServerEntry> news =
        members
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL + 1_000)),
                false,
                later,
                WALL + hour + 2_000)
            .servers();
    assertTrue(
        news.get(0).startedAtMicros() >= NOW,
        "started " + (later - news.get(0).startedAtMicros()) / 1_000_000 + " s ago");
  }

  /**
   * A list may be the first to have a server that has run for long, as after one that was emptied
   * by mistake.
   */
  @Test
  void aServerThatComesLateToTheListIsAsOldAsItSays() {
    hear(entry("a", "reader", ServerLifecycle.READY, WALL - 60_000));
    List<ServerEntry> news =
        hear(
                entry("a", "reader", ServerLifecycle.READY, WALL - 60_000),
                entry("b", "reader", ServerLifecycle.READY, WALL - 50_000))
            .servers();
    assertEquals(
        List.of(NOW - 50_000_000), news.stream().map(ServerEntry::startedAtMicros).toList());
  }

  /** One that was off the list for a while is the process that it was. */
  @Test
  void aServerThatComesBackToTheListKeepsItsStart() {
    long startedAt =
        hear(entry("a", "reader", ServerLifecycle.READY, WALL - 60_000))
            .servers()
            .get(0)
            .startedAtMicros();
    hear();
    assertEquals(
        startedAt,
        members
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL - 60_000)),
                false,
                NOW + 1_000_000,
                WALL + 1_000)
            .servers()
            .get(0)
            .startedAtMicros());
  }

  @Test
  void afterABreakTheListIsToldWhole() {
    hear(entry("a", "reader", ServerLifecycle.READY, 0));
    members.requireFullUpdate();
    assertEquals(
        EndpointListKind.FULL_LIST, hear(entry("a", "reader", ServerLifecycle.READY, 0)).kind());
    assertEquals(EndpointListKind.CACHED, members.update(List.of(), true, NOW, WALL).kind());
  }

  @Test
  void numbersAreTheSameEverywhereAndInEveryLife() {
    long here = hear(entry("a", "reader", ServerLifecycle.READY, 0)).servers().get(0).id();
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
  void aStartIsPutOnTheClockOnceAndANewOneIsANewProcess() {
    long first =
        hear(entry("a", "reader", ServerLifecycle.READY, WALL - 2_000))
            .servers()
            .get(0)
            .startedAtMicros();
    assertEquals(NOW - 2_000_000, first);
    assertEquals(
        List.of(),
        members
            .update(
                List.of(entry("a", "reader", ServerLifecycle.READY, WALL - 2_000)),
                false,
                NOW + 7,
                WALL + 900)
            .servers());
    // clocks that drift apart do not make a new process

    assertNotEquals(
        first,
        hear(entry("a", "reader", ServerLifecycle.READY, WALL - 1_000))
            .servers()
            .get(0)
            .startedAtMicros());
    assertEquals(
        NOW,
        hear(entry("a", "reader", ServerLifecycle.READY, WALL + 60_000))
            .servers()
            .get(0)
            .startedAtMicros());
  }

  @Test
  void whatCannotBeUsedIsPassedOverAndNamed() {
    EndpointUpdate news =
        hear(
            entry("a", "painter", ServerLifecycle.READY, 0),
            entry("b", "reader", ServerLifecycle.READY, 0),
            entry("b", "reader", ServerLifecycle.READY, 0));
    assertEquals(1, news.servers().size());
    assertEquals(2, news.skipped().size());
    assertTrue(news.skipped().get(0).contains("painter"));
  }

  @Test
  void aServerThatLeftCanStillBeToldToLetGo() {
    long id = hear(entry("a", "reader", ServerLifecycle.READY, 0)).servers().get(0).id();
    hear();
    assertEquals("a", members.find(id).orElseThrow().name());
    assertEquals(0, members.size());
  }

  @Test
  void consulsFormIsRead() throws EndpointListCodec.MalformedListException {
    String text =
        "[{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"w1\",\"Address\":\"\",\"Port\":80,"
            + "\"Meta\":{\"kind\":\"writer\",\"zone\":\"z\",\"rack\":\"r\",\"started\":\"12\"},\"Weights\":{\"Passing\":3}},"
            + "\"Checks\":[{\"CheckID\":\"_service_maintenance:w1\",\"Status\":\"critical\"}]},"
            + "{\"Service\":{\"ID\":\"w2\",\"Address\":\"127.0.0.2\",\"Port\":81,\"Meta\":{\"kind\":\"writer\"}},"
            + "\"Checks\":[{\"CheckID\":\"tcp\",\"Status\":\"critical\"}]}]";
    List<Endpoint> entries = EndpointListCodec.parseConsul(text.getBytes(StandardCharsets.UTF_8));
    assertEquals(ServerLifecycle.DRAINING, entries.get(0).lifecycle());
    assertEquals(3, entries.get(0).weight());
    assertEquals(12, entries.get(0).startedAtMillis());
    assertEquals(ServerLifecycle.GONE, entries.get(1).lifecycle());
  }

  @Test
  void theFilesFormIsReadBack() throws EndpointListCodec.MalformedListException {
    List<Endpoint> entries = List.of(entry("a", "reader", ServerLifecycle.DRAINING, 77));
    assertEquals(entries, EndpointListCodec.parseFile(EndpointListCodec.formatFile(entries)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      value = {
        "nonsense ~ expected JSON",
        "{\"servers\":1} ~ /servers: expected an array",
        "{\"servers\":[{\"name\":\"\"}]} ~ /servers/0/name: expected a text",
        "{\"servers\":[{\"name\":\"a\",\"address\":\"x\",\"kind\":\"k\"}]} ~"
            + " /servers/0/address: expected HOST:PORT",
        "{\"servers\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"kind\":\"k\",\"weight\":-1}]}"
            + " ~ expected a weight",
        "{\"servers\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"kind\":\"k\",\"standing\":\"x\"}]}"
            + " ~ /servers/0/standing",
      })
  void whatIsWrongIsNamed(String text, String problem) {
    String message =
        assertThrows(
                EndpointListCodec.MalformedListException.class,
                () -> EndpointListCodec.parseFile(text.getBytes(StandardCharsets.UTF_8)))
            .getMessage();
    assertTrue(message.contains(problem), message);
  }
}
