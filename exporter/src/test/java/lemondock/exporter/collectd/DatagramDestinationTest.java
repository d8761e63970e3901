package lemondock.exporter.collectd;

import static lemondock.exporter.ExporterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import lemondock.exporter.DestinationCounter;
import lemondock.exporter.ExporterFixture;
import lemondock.metrics.MetricFamilies;
import lemondock.net.DatagramSender;
import org.junit.jupiter.api.Test;

/** A datagram destination, with a clock and a socket that the test controls. */
class DatagramDestinationTest {
  private static final int MAX_PACKET_BYTES = 1024;

  private final ExporterFixture fixture = new ExporterFixture();
  private final List<ByteBuffer> sent = new ArrayList<>();
  private final DatagramDestination destination = newDestination();
  private int acceptablePackets = Integer.MAX_VALUE;
  private boolean isUnreachable;
  private int openedCount;

  /** Accepts packets until {@code acceptablePackets} is used up. */
  private final class TestSender implements DatagramSender {
    @Override
    public boolean send(ByteBuffer packet) throws IOException {
      if (isUnreachable) {
        throw new IOException("port unreachable");
      }
      if (acceptablePackets == 0) {
        return false;
      }
      acceptablePackets--;
      sent.add(packet.duplicate());
      packet.position(packet.limit());
      return true;
    }

    @Override
    public void close() {}
  }

  private DatagramSender open(InetSocketAddress address) {
    openedCount++;
    return new TestSender();
  }

  private DatagramDestination newDestination() {
    DatagramConnector connector =
        new DatagramConnector(
            (host, port, onResolved, onFailed) ->
                onResolved.accept(new InetSocketAddress("127.0.0.1", port)),
            this::open,
            InetSocketAddress.createUnresolved("host", 1));
    NetworkPacketEncoder encoder =
        new NetworkPacketEncoder(
            new CollectdIdentifiers("h", "i"),
            new PacketSecurity(SecurityLevel.NONE, "", ""),
            MAX_PACKET_BYTES,
            1000,
            CounterType.DERIVE);
    DatagramDestination created =
        new DatagramDestination(
            fixture.loop,
            connector,
            encoder,
            fixture.exporter.buffer(),
            new DatagramDestination.Options("udp", 20, SECOND));
    fixture.exporter.addDestination(created);
    return created;
  }

  private long value(DestinationCounter counter) {
    return destination.statistics().value(counter);
  }

  @Test
  void boundsPacketSizeAndRateAndRetriesRefusedPackets() {
    for (int i = 0; i < 1_000; i++) {
      fixture.registry.series(MetricFamilies.TOOL_CALLS, "class-" + i);
    }
    fixture.exporter.start();
    fixture.loop.advance(SECOND);
    int firstBurst = sent.size();
    assertTrue(firstBurst > 0 && firstBurst <= 16, "packets in the first burst: " + firstBurst);
    fixture.loop.advance(SECOND / 2);
    final int packetsPerSnapshot = sent.size();
    assertEquals(1, value(DestinationCounter.SNAPSHOTS_SENT));
    assertTrue(sent.stream().allMatch(packet -> packet.remaining() <= MAX_PACKET_BYTES));
    acceptablePackets = 3;
    fixture.loop.advance(SECOND);
    assertEquals(packetsPerSnapshot + 3, sent.size());
    assertTrue(value(DestinationCounter.PACKETS_LOST) > 0);
    acceptablePackets = Integer.MAX_VALUE;
    fixture.loop.advance(SECOND / 4);
    assertEquals(
        2, value(DestinationCounter.SNAPSHOTS_SENT), "resumes with the packet that was refused");
    assertEquals(2 * packetsPerSnapshot, sent.size());
  }

  @Test
  void sendsKeptSnapshotsOncePortIsReachable() {
    fixture.exporter.start();
    isUnreachable = true;
    fixture.countEachSecond(10);
    assertEquals(0, value(DestinationCounter.SNAPSHOTS_SENT));
    long failures = value(DestinationCounter.CONNECTION_FAILURES);
    assertTrue(failures >= 4 && failures <= 12);
    isUnreachable = false;
    fixture.countEachSecond(2);
    assertEquals(12, value(DestinationCounter.SNAPSHOTS_SENT));
    assertTrue(openedCount > 1, "the host was resolved again");
  }
}
