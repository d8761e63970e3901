package lemondock.exporter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import lemondock.net.Connection;
import lemondock.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exports snapshots over a connection. A snapshot is encoded in parts, as fast as the connection
 * accepts them, so that the memory used for a slow collector does not depend on the size of a
 * snapshot. When a connection breaks, the snapshots sent within the last {@link
 * Options#resendMicros} are sent again over the next one: the operating system had accepted them,
 * but the collector may not have read them. Duplicates are harmless, since each value has its
 * timestamp and counters are cumulative. Loop thread only.
 */
public final class StreamDestination implements Destination {
  private static final Logger LOG = LoggerFactory.getLogger(StreamDestination.class);
  private static final int ENCODE_BYTES = 16 * 1024;
  private static final long MAX_UNSENT_BYTES = 64 * 1024;

  /** Pause between two reads from a collector, which bounds the rate at which input is read. */
  private static final long READ_PAUSE_MICROS = 10_000;

  private final Loop loop;
  private final Connector connector;
  private final SnapshotEncoder encoder;
  private final Options options;
  private final DestinationQueue queue;
  private final ResendWindow resendWindow;
  private final StallDetector stallDetector;
  private final ExponentialBackoff backoff;
  private final FailureLog failureLog;
  private final DestinationStatistics statistics = new DestinationStatistics();
  private final ByteArrayOutputStream encoded = new ByteArrayOutputStream();
  private Connection connection; // null if not connected
  private boolean isConnecting;
  private boolean isStopped;
  private Loop.Timer reconnectTimer = () -> {};
  private Runnable shutDownCallback; // null if not shutting down

  /**
   * Name and limits of a destination.
   *
   * @param name the destination's name in the settings
   * @param maxPendingSnapshots maximum number of pending snapshots; beyond it the oldest are
   *     dropped
   * @param resendMicros snapshots sent within this time before a connection breaks are sent again;
   *     in microseconds
   * @param stallMicros time without progress after which a connection is aborted, in microseconds
   * @param backoff delays between attempts to connect
   */
  public record Options(
      String name,
      int maxPendingSnapshots,
      long resendMicros,
      long stallMicros,
      ExponentialBackoff.Policy backoff) {}

  /** Creates a destination for the snapshots that are appended to the buffer from now on. */
  public StreamDestination(
      Loop loop,
      Connector connector,
      SnapshotEncoder encoder,
      SnapshotBuffer buffer,
      Options options) {
    this.loop = loop;
    this.connector = connector;
    this.encoder = encoder;
    this.options = options;
    this.queue = new DestinationQueue(buffer, options.maxPendingSnapshots());
    this.resendWindow = new ResendWindow(options.resendMicros());
    this.stallDetector = new StallDetector(options.stallMicros());
    this.backoff = new ExponentialBackoff(options.backoff());
    this.failureLog = new FailureLog(LOG, options.name());
  }

  /** Starts the first attempt to connect. */
  public void start() {
    connect();
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

  private void connect() {
    if (!isConnecting && connection == null && !isStopped) {
      isConnecting = true;
      connector.connect(new ConnectionHandler());
    }
  }

  @Override
  public void sendPending() {
    if (connection == null) {
      if (!isConnecting && shutDownCallback != null) {
        completeShutDown();
      }
      return;
    }
    if (stallDetector.isStalled(connection, loop.now())) {
      connection.abort();
    }
    while (connection != null && connection.pendingBytes() <= MAX_UNSENT_BYTES) {
      Optional<BufferedSnapshot> snapshot = queue.currentOrNext();
      if (snapshot.isEmpty()) {
        break;
      }
      sendPart(snapshot.get());
    }
    if (shutDownCallback != null && connection != null && queue.isEmpty()) {
      connection.close(); // flushes, then leaves the collector time to read the rest
    }
  }

  private void sendPart(BufferedSnapshot snapshot) {
    encoded.reset();
    int nextSeries = encoder.encode(snapshot, queue.nextSeries(), ENCODE_BYTES, encoded);
    statistics.add(DestinationCounter.BYTES_SENT, encoded.size());
    connection.write(ByteBuffer.wrap(encoded.toByteArray()));
    queue.advanceTo(nextSeries);
    if (queue.completeIfAllSent()) {
      statistics.add(DestinationCounter.SNAPSHOTS_SENT, 1);
      resendWindow.onSent(loop.now());
    }
  }

  @Override
  public void shutDown(Runnable onClosed) {
    shutDownCallback = onClosed;
    reconnectTimer.cancel();
    if (connection == null && !isConnecting) {
      connect(); // one final attempt
    } else {
      sendPending();
    }
  }

  @Override
  public void abort() {
    isStopped = true;
    reconnectTimer.cancel();
    if (connection != null) {
      connection.abort();
    } else {
      completeShutDown();
    }
  }

  private void completeShutDown() {
    Runnable callback = shutDownCallback;
    shutDownCallback = null;
    isStopped = true;
    if (callback != null) {
      callback.run();
    }
  }

  private void onClosed(IOException cause) {
    boolean hasSentAll = connection != null && shutDownCallback != null && queue.isEmpty();
    isConnecting = false;
    connection = null;
    if (isStopped || hasSentAll) {
      completeShutDown();
      return;
    }
    statistics.add(DestinationCounter.CONNECTION_FAILURES, 1);
    int resent = queue.rewind(resendWindow.drainSentCount(loop.now()));
    statistics.add(DestinationCounter.SNAPSHOTS_RESENT, resent);
    if (shutDownCallback != null) {
      completeShutDown();
      return;
    }
    scheduleReconnect(cause == null ? "the connection was closed" : cause.getMessage());
  }

  private void scheduleReconnect(String reason) {
    boolean hasLogged = failureLog.logFirst(reason);
    if (stallDetector.hasMadeProgress()) {
      if (!hasLogged) {
        failureLog.reset();
      }
      backoff.reset();
    }
    stallDetector.reset(loop.now());
    reconnectTimer = loop.schedule(backoff.nextDelayMicros(), this::connect);
  }

  /** Handles the events of a connection. Loop thread only, except for {@link #decode}. */
  private final class ConnectionHandler implements Connection.Handler {
    @Override
    public void connected(Connection established) {
      isConnecting = false;
      if (isStopped) {
        established.abort();
        return;
      }
      connection = established;
      statistics.add(DestinationCounter.CONNECTIONS_OPENED, 1);
      stallDetector.reset(loop.now());
      established.read();
      sendPending();
    }

    /** Replaces input from the collector with its length. Runs on an I/O thread. */
    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      events.add(bytes.remaining());
      bytes.position(bytes.limit());
    }

    @Override
    public void received(List<Object> events) {
      for (Object byteCount : events) {
        statistics.add(DestinationCounter.BYTES_IGNORED, (Integer) byteCount);
      }
      Connection source = connection;
      loop.schedule(READ_PAUSE_MICROS, () -> readAgain(source));
    }

    private void readAgain(Connection source) {
      if (source != null && connection == source) {
        source.read();
      }
    }

    @Override
    public void inputEnded() {
      if (connection != null) {
        connection.abort(); // a collector that has closed its side no longer reads
      }
    }

    @Override
    public void writeQueueDrained() {
      sendPending();
    }

    @Override
    public void closed(IOException cause) {
      onClosed(cause);
    }
  }
}
