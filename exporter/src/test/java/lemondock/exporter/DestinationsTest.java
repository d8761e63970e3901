package lemondock.exporter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import lemondock.exporter.collectd.DatagramDestination;
import lemondock.exporter.collectd.Identity;
import lemondock.exporter.collectd.Packets;
import lemondock.exporter.collectd.Seal;
import lemondock.exporter.graphite.PlainText;
import lemondock.metrics.Family;
import lemondock.metrics.Field;
import lemondock.metrics.Metrics;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;
import lemondock.metrics.Tally;
import lemondock.net.Connection;
import lemondock.net.DatagramSender;
import lemondock.net.time.ManualLoop;
import org.junit.jupiter.api.Test;

/** Destinations on a clock and connections that the test moves by hand. */
class DestinationsTest {
  private static final long SECOND = 1_000_000;
  private static final Family COUNT =
      Family.values("count", List.of(), "", new Field("n", Field.Kind.COUNTER, 0, "1", ""));
  private static final StreamDestination.Options OPTIONS =
      new StreamDestination.Options(20, 5 * SECOND, 30 * SECOND, SECOND / 2, 30 * SECOND);

  private final ManualLoop loop = new ManualLoop(1_000_000_000L);
  private final Tally tally = new Tally(4096);
  private final Series count = tally.series(COUNT);
  private final Recorder counter = tally.recorder();
  private final Reporter reporter =
      new Reporter(loop, tally, new Reporter.Options(SECOND, 1, 1 << 20, 100, 3_600 * SECOND));
  private final List<Line> lines = new ArrayList<>();
  private boolean refuses;

  /** One connection to a collector; it takes bytes only while it flows. */
  private final class Line implements Connection {
    private final Handler handler;
    private final StringBuilder taken = new StringBuilder();
    private final StringBuilder queued = new StringBuilder();
    private boolean flows;
    private boolean closed;
    private boolean ending;
    private int reads;
    private long most;

    Line(Handler handler, boolean flows) {
      this.handler = handler;
      this.flows = flows;
    }

    @Override
    public void read() {
      reads++;
    }

    @Override
    public void write(ByteBuffer bytes) {
      queued.append(StandardCharsets.US_ASCII.decode(bytes));
      most = Math.max(most, queued.length());
      if (flows) {
        take(queued.length());
      }
    }

    void take(int bytes) {
      boolean high = queued.length() > 64 * 1024;
      taken.append(queued, 0, bytes);
      queued.delete(0, bytes);
      if (high && queued.length() <= 16 * 1024) {
        loop.execute(handler::writeQueueDrained);
      }
      if (ending && queued.isEmpty()) {
        cut(null);
      }
    }

    void cut(IOException cause) {
      if (!closed) {
        closed = true;
        loop.execute(() -> handler.closed(cause));
      }
    }

    @Override
    public long pendingBytes() {
      return queued.length();
    }

    @Override
    public long flushedBytes() {
      return taken.length();
    }

    @Override
    public void close() {
      ending = true;
      if (queued.isEmpty()) {
        cut(null);
      }
    }

    @Override
    public void abort() {
      cut(null);
    }

    @Override
    public InetSocketAddress remoteAddress() {
      return null;
    }

    /** Seconds and counts of the lines taken whole. */
    List<String> counts() {
      List<String> found = new ArrayList<>();
      for (String line : taken.substring(0, taken.lastIndexOf("\n") + 1).split("\n")) {
        if (line.startsWith("x.i.count.n ")) {
          found.add(line.substring("x.i.count.n ".length()));
        }
      }
      return found;
    }
  }

  private StreamDestination stream(String name, boolean flows) {
    StreamDestination made =
        new StreamDestination(
            loop,
            name,
            handler -> {
              if (refuses) {
                loop.execute(() -> handler.closed(new IOException("refused")));
              } else {
                Line line = new Line(handler, flows);
                lines.add(line);
                loop.execute(() -> handler.connected(line));
              }
            },
            new PlainText("x", "i", false),
            reporter.ring(),
            OPTIONS,
            () -> 0.5);
    reporter.add(made);
    return made;
  }

  private void seconds(int many) {
    for (int i = 0; i < many; i++) {
      counter.count(count.first());
      loop.advance(SECOND);
    }
  }

  private static String at(long second, long value) {
    return value + " " + second;
  }

  private void go(StreamDestination... some) {
    for (StreamDestination d : some) {
      d.start();
    }
    reporter.start();
    loop.runTasks();
  }

  @Test
  void everySnapshotArrivesWithItsStamp() {
    go(stream("a", true));
    seconds(3);
    assertEquals(List.of(at(1001, 1), at(1002, 2), at(1003, 3)), lines.get(0).counts());
  }

  @Test
  void aCollectorThatTakesNothingCostsOnePieceAndIsLeftAfterTheStall() {
    for (int i = 0; i < 200; i++) { // some 50 KB a snapshot
      tally.series(Metrics.TOOLS, "a-rather-long-name-of-a-class-" + i);
    }
    StreamDestination stalled = stream("stalled", false);
    StreamDestination healthy = stream("healthy", true);
    go(stalled, healthy);
    seconds(29);
    assertEquals(2, lines.size());
    assertEquals(29, lines.get(1).counts().size());
    assertTrue(lines.get(0).most < 100_000, "held " + lines.get(0).most);
    seconds(10);
    assertEquals(3, lines.size(), "a new connection was tried after the stall");
    assertEquals(39, lines.get(1).counts().size());
    assertTrue(
        stalled.figures().dropped > 0 && stalled.figures().waiting <= 21,
        stalled.figures().dropped + " dropped, " + stalled.figures().waiting + " wait");
    assertEquals(0, healthy.figures().dropped);
    Snapshot now = reporter.newest();
    assertTrue(
        now.value(Metrics.REPORT, "dropped", List.of("stalled")) > 0,
        "the drops are reported themselves");
  }

  @Test
  void whatWasMissedComesLaterWithItsOwnStampsAndTheOldestIsDropped() {
    refuses = true;
    StreamDestination it = stream("away", true);
    go(it);
    seconds(300); // five minutes
    assertEquals(280, it.figures().dropped);
    assertEquals(20, it.figures().waiting);
    refuses = false;
    seconds(31);
    List<String> got = lines.get(0).counts();
    assertEquals(
        it.figures().dropped + got.size(), 331, "each snapshot arrived or is counted as dropped");
    assertTrue(got.size() <= 20 + 31, got.size() + " came, 20 may wait");
    long first = 331 - got.size() + 1;
    assertEquals(
        IntStream.range(0, got.size()).mapToObj(i -> at(1000 + first + i, first + i)).toList(),
        got);
    assertTrue(
        it.figures().failures >= 9 && it.figures().failures <= 20,
        "tries were backed off: " + it.figures().failures);
  }

  @Test
  void aBreakInMidSnapshotSendsItAgainAndWhatTheSystemMayHaveLost() {
    StreamDestination it = stream("breaks", true);
    go(it);
    seconds(10);
    lines.get(0).flows = false;
    seconds(1);
    lines.get(0).take(15); // part of a line
    lines.get(0).cut(new IOException("reset"));
    loop.runTasks();
    seconds(3);
    List<String> again = lines.get(1).counts();
    assertEquals(at(1014, 14), again.get(again.size() - 1));
    assertTrue(again.contains(at(1011, 11)), again.toString());
    assertTrue(again.contains(at(1008, 8)), "sent within the last five seconds: " + again);
    assertFalse(again.contains(at(1003, 3)), again.toString());
    assertTrue(it.figures().resent >= 3);
  }

  @Test
  void aGaugeWithoutAValueIsLeftOutAndACounterThatWrapsIsNot() {
    Series gauge = tally.series(Metrics.PROCESS, "odd.meter");
    go(stream("a", true));
    long ticket = counter.enter();
    counter.set(gauge.first(), Snapshot.ABSENT);
    counter.add(count.first(), Long.MAX_VALUE);
    counter.exit(ticket);
    seconds(1);
    assertFalse(lines.get(0).taken.toString().contains("odd%2Emeter"), "no line without a value");
    ticket = counter.enter();
    counter.set(gauge.first(), 1_500);
    counter.exit(ticket);
    seconds(1);
    assertTrue(lines.get(0).taken.toString().contains("x.i.process.odd%2Emeter.value 1.5 1002\n"));
    assertEquals(
        List.of(at(1001, Long.MIN_VALUE), at(1002, Long.MIN_VALUE + 1)), lines.get(0).counts());
  }

  @Test
  void aClockSetBackKeepsTheOrderOfStamps() {
    go(stream("a", true));
    seconds(5);
    loop.stepWallClock(-3_600_000);
    seconds(20);
    List<Long> stamps =
        lines.get(0).counts().stream().map(l -> Long.parseLong(l.split(" ")[1])).toList();
    assertEquals(stamps.stream().sorted().toList(), stamps);
    assertEquals(1, reporter.newest().value(Metrics.CLOCK, "set_back", List.of()));
    assertTrue(reporter.newest().value(Metrics.CLOCK, "ahead", List.of()) > 3_500_000);
  }

  @Test
  void whatACollectorSaysIsCountedAndDroppedAtABoundedPace() {
    StreamDestination it = stream("talks", true);
    go(it);
    Line line = lines.get(0);
    for (int i = 0; i < 100; i++) {
      final int before = line.reads;
      List<Object> events = new ArrayList<>();
      line.handler.decode(ByteBuffer.wrap(new byte[4096]), events);
      line.handler.received(events);
      loop.runTasks();
      assertEquals(before, line.reads, "read on only after a pause");
      loop.advance(20_000);
      assertEquals(before + 1, line.reads);
    }
    assertEquals(409_600, it.figures().ignored);
  }

  @Test
  void theEndIsSentAndAStalledDestinationDoesNotHoldItUp() {
    go(stream("a", true), stream("stalled", false), stream("b", true));
    seconds(2);
    counter.count(count.first());
    List<Snapshot> last = new ArrayList<>();
    reporter.finish(SECOND, last::add);
    loop.runTasks();
    assertEquals(List.of(), last);
    assertTrue(
        lines.get(0).ending && lines.get(2).ending, "the others are closed in order at once");
    loop.advance(SECOND);
    assertEquals(1, last.size());
    assertEquals(3, last.get(0).value(COUNT, "n", List.of()));
    assertEquals(at(1002, 3), lines.get(0).counts().get(2));
    seconds(5);
    assertEquals(3, lines.get(0).counts().size(), "nothing after the end");
  }

  @Test
  void atTheEndADestinationThatIsAwayGetsOneLastTry() {
    refuses = true;
    go(stream("away", true));
    seconds(3);
    refuses = false;
    List<Snapshot> last = new ArrayList<>();
    reporter.finish(SECOND, last::add);
    loop.runTasks();
    assertEquals(1, last.size());
    assertEquals(4, lines.get(0).counts().size());
  }

  @Test
  void aNameThatIsNeverFoundOrFoundLateIsNoConnection() {
    List<Consumer<InetSocketAddress>> asked = new ArrayList<>();
    List<String> heard = new ArrayList<>();
    Dialer dialer =
        Dialer.tcp(
            loop,
            null,
            (host, port, found, failed) -> {
              if (host.equals("none")) {
                failed.accept("the name none was not found");
              } else {
                asked.add(found);
              }
            },
            "slow",
            1,
            SECOND);
    Connection.Handler handler =
        new Connection.Handler() {
          @Override
          public void connected(Connection connection) {}

          @Override
          public void decode(ByteBuffer bytes, List<Object> events) {}

          @Override
          public void received(List<Object> events) {}

          @Override
          public void inputEnded() {}

          @Override
          public void writeQueueDrained() {}

          @Override
          public void closed(IOException cause) {
            heard.add(cause.getMessage());
          }
        };
    dialer.dial(handler);
    loop.advance(2 * SECOND);
    asked.get(0).accept(new InetSocketAddress("127.0.0.1", 1)); // too late: no second word
    loop.runTasks();
    assertEquals(List.of("the name slow was not found in time"), heard);
  }

  // ==== datagrams

  private final List<ByteBuffer> sent = new ArrayList<>();
  private int room = Integer.MAX_VALUE;
  private boolean unreachable;
  private int opened;

  private DatagramDestination datagrams() {
    Packets packets =
        new Packets(new Identity("h", "i"), new Seal(Seal.Level.NONE, "", ""), 1024, 1000, true);
    DatagramDestination made =
        new DatagramDestination(
            loop,
            "udp",
            "host",
            1,
            (host, port, found, failed) -> found.accept(new InetSocketAddress("127.0.0.1", port)),
            to -> {
              opened++;
              return new DatagramSender() {
                @Override
                public boolean send(ByteBuffer packet) throws IOException {
                  if (unreachable) {
                    throw new IOException("port unreachable");
                  }
                  if (room == 0) {
                    return false;
                  }
                  room--;
                  sent.add(packet.duplicate());
                  packet.position(packet.limit());
                  return true;
                }

                @Override
                public void close() {}
              };
            },
            packets,
            reporter.ring(),
            20,
            SECOND);
    reporter.add(made);
    return made;
  }

  @Test
  void datagramsAreBoundedAndPacedAndWaitForRoom() {
    for (int i = 0; i < 1_000; i++) {
      tally.series(Metrics.TOOLS, "class-" + i);
    }
    final DatagramDestination it = datagrams();
    reporter.start();
    loop.advance(SECOND);
    int first = sent.size();
    assertTrue(first > 0 && first <= 16, "at once: " + first);
    loop.advance(SECOND / 2);
    final int whole = sent.size();
    assertEquals(1, it.figures().snapshots);
    assertTrue(sent.stream().allMatch(p -> p.remaining() <= 1024));
    room = 3;
    loop.advance(SECOND);
    assertEquals(whole + 3, sent.size());
    assertTrue(it.figures().lost > 0);
    room = Integer.MAX_VALUE;
    loop.advance(SECOND / 4);
    assertEquals(2, it.figures().snapshots, "goes on where it stood");
    assertEquals(2 * whole, sent.size());
  }

  @Test
  void wherePortsAreRefusedSnapshotsComeLater() {
    final DatagramDestination it = datagrams();
    reporter.start();
    unreachable = true;
    seconds(10);
    assertEquals(0, it.figures().snapshots);
    assertTrue(it.figures().failures >= 4 && it.figures().failures <= 12);
    unreachable = false;
    seconds(2);
    assertEquals(12, it.figures().snapshots);
    assertTrue(opened > 1, "the name was looked up anew");
  }
}
