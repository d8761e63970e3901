package lemondock.exporter.collectd;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.Destination;
import lemondock.exporter.DestinationCounter;
import lemondock.exporter.DestinationQueue;
import lemondock.exporter.DestinationStatistics;
import lemondock.exporter.FailureLog;
import lemondock.exporter.ServiceHealth;
import lemondock.exporter.SnapshotBuffer;
import lemondock.net.DatagramSender;
import lemondock.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exports snapshots as datagrams. Packets are encoded one at a time and sent in small bursts, so
 * that a large snapshot does not overrun the operating system's buffer. Nobody reports what the
 * network loses; counters are cumulative, so that the next packet makes up for it. If the peer's
 * machine answers that nobody listens, the last snapshots are sent again later. Loop thread only.
 */
public final class DatagramDestination implements Destination {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramDestination.class);
  private static final int PACKETS_PER_BURST = 16;
  private static final int MAX_PENDING_NOTIFICATIONS = 16;
  private static final long BURST_PAUSE_MICROS = 2_000;

  /** Snapshots to send again after a failure, which may concern packets sent before. */
  private static final int RESENT_SNAPSHOTS = 2;

  private final Loop loop;
  private final DatagramConnector connector;
  private final NetworkPacketEncoder encoder;
  private final Options options;
  private final DestinationQueue queue;
  private final FailureLog failureLog;
  private final DestinationStatistics statistics = new DestinationStatistics();
  private final ArrayDeque<ByteBuffer> notifications = new ArrayDeque<>();
  private DatagramSender sender; // null: not open
  private boolean isOpening;
  private boolean isPausing;
  private boolean isStopped;
  private ByteBuffer unsentPacket; // null: none; the operating system had no space for it
  private Runnable shutDownCallback; // null: not shutting down

  /**
   * Name and limits of a destination.
   *
   * @param name the name in the settings
   * @param maxPendingSnapshots snapshots that may wait; beyond it the oldest are dropped
   * @param retryMicros time from a failure to the next attempt
   */
  public record Options(String name, int maxPendingSnapshots, long retryMicros) {}

  /** Makes a destination for the snapshots that come into the buffer from now on. */
  public DatagramDestination(
      Loop loop,
      DatagramConnector connector,
      NetworkPacketEncoder encoder,
      SnapshotBuffer buffer,
      Options options) {
    this.loop = loop;
    this.connector = connector;
    this.encoder = encoder;
    this.options = options;
    this.queue = new DestinationQueue(buffer, options.maxPendingSnapshots());
    this.failureLog = new FailureLog(LOG, options.name());
  }

  @Override
  public String name() {
    return options.name();
  }

  @Override
  public DestinationStatistics statistics() {
    queue.updateStatistics(statistics);
    return statistics;
  }

  @Override
  public void notifyServiceHealth(long timestampMillis, ServiceHealth health, String message) {
    if (notifications.size() < MAX_PENDING_NOTIFICATIONS) {
      notifications.add(encoder.encodeNotification(timestampMillis, health, message));
    }
    sendPending();
  }

  @Override
  public void sendPending() {
    if (isStopped || isPausing || isOpening) {
      return;
    }
    if (sender == null) {
      isOpening = true;
      connector.open(this::onOpened, this::onFailed);
      return;
    }
    for (int i = 0; i < PACKETS_PER_BURST; i++) {
      if (!sendNextPacket()) {
        return;
      }
    }
    pause(BURST_PAUSE_MICROS);
  }

  private void onOpened(DatagramSender opened) {
    isOpening = false;
    sender = opened;
    statistics.add(DestinationCounter.CONNECTIONS_OPENED, 1);
    sendPending();
  }

  /** Sends one packet; false if there is none, or if it has to wait. */
  private boolean sendNextPacket() {
    Optional<ByteBuffer> next = nextPacket();
    if (next.isEmpty()) {
      if (shutDownCallback != null) {
        completeShutDown();
      }
      return false;
    }
    ByteBuffer packet = next.get();
    final int packetBytes = packet.remaining();
    try {
      if (!sender.send(packet)) {
        statistics.add(DestinationCounter.PACKETS_LOST, 1);
        unsentPacket = packet;
        pause(BURST_PAUSE_MICROS);
        return false;
      }
    } catch (IOException e) {
      statistics.add(DestinationCounter.PACKETS_LOST, 1);
      onFailed(e);
      return false;
    }
    onSent(packetBytes);
    return true;
  }

  private void onSent(int packetBytes) {
    unsentPacket = null;
    statistics.add(DestinationCounter.PACKETS_SENT, 1);
    statistics.add(DestinationCounter.BYTES_SENT, packetBytes);
    if (queue.completeIfAllSent()) {
      statistics.add(DestinationCounter.SNAPSHOTS_SENT, 1);
      failureLog.reset();
    }
  }

  private Optional<ByteBuffer> nextPacket() {
    if (unsentPacket != null) {
      return Optional.of(unsentPacket);
    }
    if (!notifications.isEmpty()) {
      return Optional.of(notifications.poll());
    }
    Optional<BufferedSnapshot> snapshot = queue.currentOrNext();
    if (snapshot.isEmpty()) {
      return Optional.empty();
    }
    NetworkPacketEncoder.Packet packet = encoder.encode(snapshot.get(), queue.nextSeries());
    queue.advanceTo(packet.nextSeries());
    return Optional.of(packet.bytes());
  }

  private void onFailed(IOException cause) {
    isOpening = false;
    statistics.add(DestinationCounter.CONNECTION_FAILURES, 1);
    failureLog.logFirst(cause.getMessage());
    unsentPacket = null;
    statistics.add(DestinationCounter.SNAPSHOTS_RESENT, queue.rewind(RESENT_SNAPSHOTS));
    closeSender(); // the host is resolved anew
    if (shutDownCallback != null) {
      completeShutDown();
    } else {
      pause(options.retryMicros());
    }
  }

  private void pause(long micros) {
    isPausing = true;
    loop.schedule(micros, this::onPauseOver);
  }

  private void onPauseOver() {
    isPausing = false;
    sendPending();
  }

  @Override
  public void shutDown(Runnable onClosed) {
    shutDownCallback = onClosed;
    sendPending();
  }

  @Override
  public void abort() {
    completeShutDown();
  }

  private void completeShutDown() {
    isStopped = true;
    closeSender();
    Runnable callback = shutDownCallback;
    shutDownCallback = null;
    if (callback != null) {
      callback.run();
    }
  }

  private void closeSender() {
    if (sender != null) {
      sender.close();
      sender = null;
    }
  }
}
