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
 * that a large snapshot does not overflow the operating system's buffer. Packets that the network
 * loses are not detected; counters are cumulative, so that the next packet compensates for a lost
 * one. If the peer's host answers that the port is unreachable, the last snapshots are sent again
 * later. Loop thread only.
 */
public final class DatagramDestination implements Destination {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramDestination.class);
  private static final int PACKETS_PER_BURST = 16;
  private static final int MAX_PENDING_NOTIFICATIONS = 16;
  private static final long BURST_PAUSE_MICROS = 2_000;

  /**
   * Number of snapshots to send again after a failure, because the failure may concern packets sent
   * earlier.
   */
  private static final int MAX_RESENT_SNAPSHOTS = 2;

  private final Loop loop;
  private final DatagramConnector connector;
  private final NetworkPacketEncoder encoder;
  private final Options options;
  private final DestinationQueue queue;
  private final FailureLog failureLog;
  private final DestinationStatistics statistics = new DestinationStatistics();
  private final ArrayDeque<ByteBuffer> notifications = new ArrayDeque<>();
  private DatagramSender sender; // null if not open
  private boolean isOpening;
  private boolean isPaused;
  private boolean isStopped;
  private ByteBuffer unsentPacket; // null if none; the operating system had no space for it
  private Runnable shutDownCallback; // null if not shutting down

  /**
   * Name and limits of a destination.
   *
   * @param name the destination's name in the settings
   * @param maxPendingSnapshots maximum number of pending snapshots; beyond it the oldest are
   *     dropped
   * @param retryMicros time from a failure to the next attempt, in microseconds
   */
  public record Options(String name, int maxPendingSnapshots, long retryMicros) {}

  /** Creates a destination for the snapshots that are appended to the buffer from now on. */
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
    if (isStopped || isPaused || isOpening) {
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

  /** Sends one packet; returns false if there is none or it could not be sent. */
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
    statistics.add(DestinationCounter.SNAPSHOTS_RESENT, queue.rewind(MAX_RESENT_SNAPSHOTS));
    closeSender(); // the next attempt resolves the host again
    if (shutDownCallback != null) {
      completeShutDown();
    } else {
      pause(options.retryMicros());
    }
  }

  private void pause(long micros) {
    isPaused = true;
    loop.schedule(micros, this::onPauseEnded);
  }

  private void onPauseEnded() {
    isPaused = false;
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
