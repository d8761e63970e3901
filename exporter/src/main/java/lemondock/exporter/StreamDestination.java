package lemondock.exporter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.DoubleSupplier;
import lemondock.net.Connection;
import lemondock.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports over a connection. A snapshot is encoded piece by piece as the connection takes it, so a
 * slow collector costs one piece of memory whatever a snapshot's size. When a connection breaks,
 * the snapshots of the last {@code resend} are sent again over the next one: the system had taken
 * them, which does not mean that the collector has read them. Sending twice does no harm, since
 * each value has its stamp and counters are cumulative.
 */
public final class StreamDestination implements Destination, Connection.Handler {
  private static final Logger LOG = LoggerFactory.getLogger(StreamDestination.class);
  private static final int PIECE = 16 * 1024;
  private static final long HIGH = 64 * 1024;
  private static final long READ_PAUSE = 10_000;

  private final Loop loop;
  private final String name;
  private final Dialer dialer;
  private final Encoder encoder;
  private final SnapshotRing.Cursor cursor;
  private final Options options;
  private final Backoff backoff;
  private final Figures figures = new Figures();
  private final ByteArrayOutputStream piece = new ByteArrayOutputStream();
  private final ArrayDeque<Long> sentAt = new ArrayDeque<>();
  private Connection connection;
  private boolean dialling;
  private boolean up;
  private boolean stopped;
  private boolean saidDown;
  private SnapshotRing.View current;
  private int at;
  private long progress;
  private long progressAt;
  private Loop.Timer retry = () -> {};
  private Runnable done;

  /**
   * What a destination is held to; times in microseconds.
   *
   * @param most snapshots that may wait for it; older ones are dropped
   * @param resend what was sent this long ago or later is sent again after a break
   * @param stall a connection that takes nothing for so long is broken off
   */
  public record Options(int most, long resend, long stall, long leastBackoff, long mostBackoff) {}

  /**
   * Makes a destination that gets what is in the ring from now on; {@link #start} sets it going.
   */
  public StreamDestination(
      Loop loop,
      String name,
      Dialer dialer,
      Encoder encoder,
      SnapshotRing ring,
      Options options,
      DoubleSupplier random) {
    this.loop = loop;
    this.name = name;
    this.dialer = dialer;
    this.encoder = encoder;
    this.cursor = ring.cursor();
    this.options = options;
    this.backoff = new Backoff(options.leastBackoff(), options.mostBackoff(), random);
  }

  /** Begins to connect. */
  public void start() {
    dial();
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public Figures figures() {
    return figures.seen(cursor, options.most(), current != null);
  }

  private void dial() {
    if (!dialling && connection == null && !stopped) {
      dialling = true;
      dialer.dial(this);
    }
  }

  @Override
  public void connected(Connection made) {
    dialling = false;
    if (stopped) {
      made.abort();
      return;
    }
    connection = made;
    figures.connects++;
    progress = 0;
    progressAt = loop.now();
    up = false;
    made.read();
    pump();
  }

  @Override
  public void pump() {
    if (connection == null) {
      if (!dialling && done != null) {
        over();
      }
      return;
    }
    watch();
    while (connection != null && connection.pendingBytes() <= HIGH) {
      if (current == null) {
        cursor.keep(options.most());
        current = cursor.next();
        at = 0;
        if (current == null) {
          break;
        }
      }
      piece.reset();
      at = encoder.encode(current, at, PIECE, piece);
      figures.bytes += piece.size();
      connection.write(ByteBuffer.wrap(piece.toByteArray()));
      if (at >= current.series().size()) {
        current = null;
        figures.snapshots++;
        sentAt.add(loop.now());
        while (loop.now() - sentAt.peek() > options.resend()) {
          sentAt.poll();
        }
      }
    }
    if (done != null && connection != null && current == null && cursor.waiting() == 0) {
      connection.close(); // flushes, then waits a little for the collector to have read all
    }
  }

  /** Breaks off a connection that takes nothing. */
  private void watch() {
    long flushed = connection.flushedBytes();
    if (flushed != progress || connection.pendingBytes() == 0) {
      up |= flushed > 0;
      progress = flushed;
      progressAt = loop.now();
    } else if (loop.now() - progressAt > options.stall()) {
      connection.abort();
    }
  }

  @Override
  public void decode(ByteBuffer bytes, List<Object> events) {
    events.add(bytes.remaining()); // whatever a collector says is counted and dropped
    bytes.position(bytes.limit());
  }

  @Override
  public void received(List<Object> events) {
    for (Object count : events) {
      figures.ignored += (Integer) count;
    }
    Connection from = connection;
    loop.schedule(
        READ_PAUSE,
        () -> {
          if (from != null && connection == from) {
            from.read();
          }
        });
  }

  @Override
  public void inputEnded() {
    if (connection != null) {
      connection.abort(); // it will read no more
    }
  }

  @Override
  public void writeQueueDrained() {
    pump();
  }

  @Override
  public void closed(IOException cause) {
    boolean was = connection != null;
    boolean whole = was && done != null && current == null && cursor.waiting() == 0;
    dialling = false;
    connection = null;
    if (stopped || whole) {
      over();
      return;
    }
    figures.failures++;
    while (!sentAt.isEmpty() && loop.now() - sentAt.peek() > options.resend()) {
      sentAt.poll();
    }
    int again = cursor.back(sentAt.size() + (current == null ? 0 : 1));
    figures.resent += Math.max(0, again - (current == null ? 0 : 1));
    sentAt.clear();
    current = null;
    if (done != null) {
      over();
      return;
    }
    if (!saidDown) {
      saidDown = true;
      LOG.atWarn()
          .addKeyValue("destination", name)
          .addKeyValue("why", cause == null ? "the connection ended" : cause.getMessage())
          .log("reports cannot be sent; tried again until it works");
    } else if (up) {
      saidDown = false;
    }
    long wait = backoff.wait(!up);
    up = false;
    retry = loop.schedule(wait, this::dial);
  }

  @Override
  public void finish(Runnable then) {
    done = then;
    retry.cancel();
    if (connection == null && !dialling) {
      dial(); // one last try
    } else {
      pump();
    }
  }

  @Override
  public void stop() {
    stopped = true;
    retry.cancel();
    if (connection != null) {
      connection.abort();
    } else {
      over();
    }
  }

  private void over() {
    Runnable then = done;
    done = null;
    stopped = true;
    if (then != null) {
      then.run();
    }
  }
}
