package lemondock.exporter;

import static lemondock.exporter.ExporterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import lemondock.exporter.graphite.PlaintextEncoder;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;
import lemondock.net.Connection;
import lemondock.net.time.ManualLoop;
import org.junit.jupiter.api.Test;

/** Stream destinations, with a clock and connections that the test controls. */
class StreamDestinationTest {
  private static final ExponentialBackoff.Policy BACKOFF =
      new ExponentialBackoff.Policy(SECOND / 2, 30 * SECOND, () -> 0.5);

  private final ExporterFixture fixture = new ExporterFixture();
  private final ManualLoop loop = fixture.loop;
  private final PeriodicExporter exporter = fixture.exporter;
  private final List<TestConnection> connections = new ArrayList<>();
  private boolean refusesConnections;

  private StreamDestination newDestination(String name, boolean acceptsImmediately) {
    StreamDestination destination =
        new StreamDestination(
            loop,
            handler -> connect(handler, acceptsImmediately),
            new PlaintextEncoder("x", "i", false),
            exporter.buffer(),
            new StreamDestination.Options(name, 20, 5 * SECOND, 30 * SECOND, BACKOFF));
    exporter.addDestination(destination);
    return destination;
  }

  private void connect(Connection.Handler handler, boolean acceptsImmediately) {
    if (refusesConnections) {
      loop.execute(() -> handler.closed(new IOException("refused")));
      return;
    }
    TestConnection connection = new TestConnection(loop, handler, acceptsImmediately);
    connections.add(connection);
    loop.execute(() -> handler.connected(connection));
  }

  private void start(StreamDestination... destinations) {
    for (StreamDestination destination : destinations) {
      destination.start();
    }
    exporter.start();
    loop.runTasks();
  }

  private static String countLine(long second, long value) {
    return value + " " + second;
  }

  private static long dropped(StreamDestination destination) {
    return destination.statistics().value(DestinationCounter.SNAPSHOTS_DROPPED);
  }

  private static long pending(StreamDestination destination) {
    return destination.statistics().value(DestinationCounter.SNAPSHOTS_PENDING);
  }

  @Test
  void sendsEverySnapshotWithItsTimestamp() {
    start(newDestination("a", true));
    fixture.countEachSecond(3);
    assertEquals(
        List.of(countLine(1001, 1), countLine(1002, 2), countLine(1003, 3)),
        connections.get(0).countLines());
  }

  @Test
  void boundsMemoryAndAbortsConnectionOfStalledCollector() {
    for (int i = 0; i < 200; i++) { // makes a snapshot about 50 KB long
      fixture.registry.series(MetricFamilies.TOOL_CALLS, "a-rather-long-name-of-a-class-" + i);
    }
    StreamDestination stalled = newDestination("stalled", false);
    StreamDestination healthy = newDestination("healthy", true);
    start(stalled, healthy);
    fixture.countEachSecond(29);
    assertEquals(2, connections.size());
    assertEquals(29, connections.get(1).countLines().size());
    long maxQueuedBytes = connections.get(0).maxQueuedBytes();
    assertTrue(
        maxQueuedBytes < 100_000, "bytes queued on the stalled connection: " + maxQueuedBytes);
    fixture.countEachSecond(10);
    assertEquals(3, connections.size(), "the stalled destination has connected again");
    assertEquals(39, connections.get(1).countLines().size());
    assertTrue(
        dropped(stalled) > 0 && pending(stalled) <= 21,
        dropped(stalled) + " dropped, " + pending(stalled) + " pending");
    assertEquals(0, dropped(healthy));
    MetricsSnapshot snapshot = exporter.latestSnapshot();
    assertTrue(
        snapshot.value(MetricFamilies.EXPORTS, "dropped", List.of("stalled")) > 0,
        "the count of dropped snapshots is exported");
  }

  @Test
  void sendsMissedSnapshotsAfterReconnectAndDropsOldest() {
    refusesConnections = true;
    StreamDestination destination = newDestination("away", true);
    start(destination);
    fixture.countEachSecond(300);
    assertEquals(280, dropped(destination));
    assertEquals(20, pending(destination));
    refusesConnections = false;
    fixture.countEachSecond(31);
    List<String> received = connections.get(0).countLines();
    assertEquals(
        dropped(destination) + received.size(),
        331,
        "each snapshot arrived or is counted as dropped");
    assertTrue(received.size() <= 20 + 31, received.size() + " arrived, at most 20 may be pending");
    long firstValue = 331 - received.size() + 1;
    assertEquals(
        IntStream.range(0, received.size())
            .mapToObj(i -> countLine(1000 + firstValue + i, firstValue + i))
            .toList(),
        received);
    long failures = destination.statistics().value(DestinationCounter.CONNECTION_FAILURES);
    assertTrue(failures >= 9 && failures <= 20, "failed attempts with backoff: " + failures);
  }

  @Test
  void resendsRecentSnapshotsAfterConnectionBreaks() {
    StreamDestination destination = newDestination("breaks", true);
    start(destination);
    fixture.countEachSecond(10);
    connections.get(0).acceptsImmediately = false;
    fixture.countEachSecond(1);
    connections.get(0).accept(15); // part of a line
    connections.get(0).closeWith(new IOException("reset"));
    loop.runTasks();
    fixture.countEachSecond(3);
    List<String> linesAfterBreak = connections.get(1).countLines();
    assertEquals(countLine(1014, 14), linesAfterBreak.get(linesAfterBreak.size() - 1));
    assertTrue(linesAfterBreak.contains(countLine(1011, 11)), linesAfterBreak.toString());
    assertTrue(
        linesAfterBreak.contains(countLine(1008, 8)),
        "sent within the last five seconds: " + linesAfterBreak);
    assertFalse(linesAfterBreak.contains(countLine(1003, 3)), linesAfterBreak.toString());
    assertTrue(destination.statistics().value(DestinationCounter.SNAPSHOTS_RESENT) >= 3);
  }

  @Test
  void omitsGaugeWithoutValueButSendsWrappedCounter() {
    Series gauge = fixture.registry.series(MetricFamilies.PROCESS, "odd.meter");
    start(newDestination("a", true));
    long ticket = fixture.recorder.beginUpdate();
    fixture.recorder.set(gauge.firstSlot(), MetricsSnapshot.NO_VALUE);
    fixture.recorder.add(fixture.series.firstSlot(), Long.MAX_VALUE);
    fixture.recorder.endUpdate(ticket);
    fixture.countEachSecond(1);
    TestConnection connection = connections.get(0);
    assertFalse(connection.acceptedText().contains("odd%2Emeter"), "no line without a value");
    ticket = fixture.recorder.beginUpdate();
    fixture.recorder.set(gauge.firstSlot(), 1_500);
    fixture.recorder.endUpdate(ticket);
    fixture.countEachSecond(1);
    assertTrue(connection.acceptedText().contains("x.i.process.odd%2Emeter.value 1.5 1002\n"));
    assertEquals(
        List.of(countLine(1001, Long.MIN_VALUE), countLine(1002, Long.MIN_VALUE + 1)),
        connection.countLines());
  }

  @Test
  void keepsTimestampsOrderedWhenWallClockIsSetBack() {
    start(newDestination("a", true));
    fixture.countEachSecond(5);
    loop.stepWallClock(-3_600_000);
    fixture.countEachSecond(20);
    List<Long> timestamps =
        connections.get(0).countLines().stream()
            .map(line -> Long.parseLong(line.split(" ")[1]))
            .toList();
    assertEquals(timestamps.stream().sorted().toList(), timestamps);
    MetricsSnapshot snapshot = exporter.latestSnapshot();
    assertEquals(1, snapshot.value(MetricFamilies.EXPORT_CLOCK, "set_back", List.of()));
    assertTrue(snapshot.value(MetricFamilies.EXPORT_CLOCK, "ahead", List.of()) > 3_500_000);
  }

  @Test
  void countsAndIgnoresCollectorInputAtBoundedRate() {
    StreamDestination destination = newDestination("talks", true);
    start(destination);
    TestConnection connection = connections.get(0);
    for (int i = 0; i < 100; i++) {
      final int readCount = connection.readCount();
      List<Object> events = new ArrayList<>();
      connection.handler.decode(ByteBuffer.wrap(new byte[4096]), events);
      connection.handler.received(events);
      loop.runTasks();
      assertEquals(readCount, connection.readCount(), "the next read comes after a pause");
      loop.advance(20_000);
      assertEquals(readCount + 1, connection.readCount());
    }
    assertEquals(409_600, destination.statistics().value(DestinationCounter.BYTES_IGNORED));
  }

  @Test
  void shutDownSendsFinalSnapshotDespiteStalledDestination() {
    start(newDestination("a", true), newDestination("stalled", false), newDestination("b", true));
    fixture.countEachSecond(2);
    fixture.recorder.increment(fixture.series.firstSlot());
    List<MetricsSnapshot> finalSnapshots = new ArrayList<>();
    exporter.shutDown(SECOND, finalSnapshots::add);
    loop.runTasks();
    assertEquals(List.of(), finalSnapshots);
    assertTrue(
        connections.get(0).isClosing() && connections.get(2).isClosing(),
        "the other destinations are closed gracefully at once");
    loop.advance(SECOND);
    assertEquals(1, finalSnapshots.size());
    assertEquals(3, finalSnapshots.get(0).value(ExporterFixture.FAMILY, "n", List.of()));
    assertEquals(countLine(1002, 3), connections.get(0).countLines().get(2));
    fixture.countEachSecond(5);
    assertEquals(3, connections.get(0).countLines().size(), "nothing is sent after the shutdown");
  }

  @Test
  void shutDownMakesOneFinalConnectionAttempt() {
    refusesConnections = true;
    start(newDestination("away", true));
    fixture.countEachSecond(3);
    refusesConnections = false;
    List<MetricsSnapshot> finalSnapshots = new ArrayList<>();
    exporter.shutDown(SECOND, finalSnapshots::add);
    loop.runTasks();
    assertEquals(1, finalSnapshots.size());
    assertEquals(4, connections.get(0).countLines().size());
  }
}
