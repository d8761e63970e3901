package lemondock.gateway.mcp;

import java.nio.charset.StandardCharsets;
import lemondock.net.Loop;
import lemondock.net.OutBuffer;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.sse.SseEvent;

/**
 * One event stream of a session. It outlives the connection that carries it: a client may come
 * again within the resume window with the last id it saw, and gets what followed. It is its own
 * lock: the loop does all but sending plain pieces while it flows, which an I/O thread may do.
 */
final class ResumableEventStream {
  private static final long HIGH_WATER_MARK_BYTES = 64 * 1024;

  /** More than an event on the direct way takes: an engine's event is smaller. */
  private static final long DIRECT_EVENT_RESERVE_BYTES = 16 * 1024;

  private static final byte[] EVENT_LINE = "event: message\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID_FIELD = "id: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "\ndata: ".getBytes(StandardCharsets.US_ASCII);

  /** Bytes of an event with a piece of an answer. */
  private static final int TYPICAL_EVENT_BYTES = 240;

  private final OutBuffer out = new OutBuffer(TYPICAL_EVENT_BYTES);
  private final Loop loop;
  private final long number;
  private final EventReplayBuffer replayBuffer;
  private final long resumeWindowMicros;
  private final long keepAliveMicros;
  private final Listener listener;
  private HttpExchange exchange;
  private Loop.Timer expiryTimer = () -> {};
  private Loop.Timer keepAliveTimer = () -> {};
  private boolean finished;
  private boolean closed;
  private boolean producerPaused;

  /** What a stream tells the one that fills it. */
  interface Listener {
    /** Produce no more until {@link #resumeProducer}. */
    void pauseProducer();

    /** Produce again. */
    void resumeProducer();

    /** No connection came back in time, or all was delivered: the stream is over. */
    void streamClosed(ResumableEventStream stream, boolean delivered);
  }

  ResumableEventStream(
      Loop loop,
      long number,
      int replayBytes,
      long resumeWindowMicros,
      long keepAliveMicros,
      Listener listener) {
    this.loop = loop;
    this.number = number;
    this.replayBuffer = new EventReplayBuffer(replayBytes);
    this.resumeWindowMicros = resumeWindowMicros;
    this.keepAliveMicros = keepAliveMicros;
    this.listener = listener;
  }

  long number() {
    return number;
  }

  synchronized boolean attached() {
    return exchange != null;
  }

  /**
   * Begins the stream on the connection of its request; a primer gives the client an id before any
   * event.
   */
  synchronized void open(HttpExchange connection, String sessionId, boolean primer) {
    attach(connection, sessionId);
    if (primer) {
      send(null);
    }
  }

  /**
   * Goes on over another connection behind the event of that number; false if that cannot be done.
   */
  synchronized boolean resume(HttpExchange connection, String sessionId, long lastSeenNumber) {
    if (!replayBuffer.contains(lastSeenNumber) || closed) {
      return false;
    }
    if (exchange != null) {
      HttpExchange previous = exchange;
      exchange = null;
      previous.abort(); // one connection at a time: the newer one wins
    }
    attach(connection, sessionId);
    replayBuffer.replayAfter(lastSeenNumber, connection::send);
    replayBuffer.markSent();
    if (finished) {
      complete();
    } else {
      resumeProducer();
    }
    return true;
  }

  private void attach(HttpExchange connection, String sessionId) {
    expiryTimer.cancel();
    exchange = connection;
    Headers headers =
        Headers.of(
            "content-type",
            "text/event-stream",
            "cache-control",
            "no-cache, no-transform",
            "x-accel-buffering",
            "no");
    if (sessionId != null) {
      headers.add("mcp-session-id", sessionId);
    }
    connection.onDisconnect(() -> connectionLost(connection));
    connection.onWriteQueueDrained(this::resumeProducer);
    connection.begin(200, headers);
    scheduleKeepAlive();
  }

  private void scheduleKeepAlive() {
    keepAliveTimer.cancel();
    keepAliveTimer =
        loop.schedule(
            keepAliveMicros,
            () -> {
              synchronized (this) {
                if (exchange != null) {
                  exchange.send(SseEvent.comment("keep-alive"));
                  scheduleKeepAlive();
                }
              }
            });
  }

  /**
   * Whether a further event can be sent without telling the owner to slow down: asked on an I/O
   * thread before it sends, since slowing down is for the loop.
   */
  synchronized boolean hasCapacity() {
    return exchange != null
        && !finished
        && !producerPaused
        && exchange.pendingBytes() <= HIGH_WATER_MARK_BYTES - DIRECT_EVENT_RESERVE_BYTES;
  }

  /** Sends an event whose data is a message; null sends an empty one, for its id alone. */
  synchronized void send(String data) {
    if (!finished) {
      beginEvent(data != null);
      out.addUtf8(
          data == null ? "" : data); // JSON on one line: what this program writes has no line ends
      // outside of strings
      endEvent();
    }
  }

  /** Sends a piece of an answer. */
  synchronized void send(ProgressNotification progress, int tokens, CharSequence piece) {
    if (!finished) {
      beginEvent(true);
      progress.write(tokens, piece, out);
      endEvent();
    }
  }

  private void beginEvent(boolean message) {
    out.reset();
    if (message) {
      out.add(EVENT_LINE);
    }
    out.add(ID_FIELD)
        .addDecimal(number)
        .add('-')
        .addDecimal(replayBuffer.nextNumber())
        .add(DATA_FIELD);
  }

  private void endEvent() {
    out.add('\n').add('\n');
    replayBuffer.append(out.array(), out.offset(), out.length());
    if (exchange != null) {
      exchange.send(out);
      replayBuffer.markSent();
      if (exchange.pendingBytes() > HIGH_WATER_MARK_BYTES) {
        pauseProducer();
      }
    } else if (replayBuffer.isFull()) {
      pauseProducer();
    }
  }

  /**
   * No event follows; the connection's answer ends, and the log stays for a client that missed the
   * last ones.
   */
  synchronized void finish() {
    if (!finished) {
      finished = true;
      if (exchange != null) {
        complete();
      }
    }
  }

  private void complete() {
    keepAliveTimer.cancel();
    HttpExchange last = exchange;
    exchange = null;
    last.finish();
    expiryTimer = loop.schedule(resumeWindowMicros, () -> closeAndNotify(true));
  }

  /** Ends the stream at once, wherever it stands. */
  synchronized void close() {
    if (!closed) {
      HttpExchange last = exchange;
      exchange = null;
      finished = true;
      if (last != null) {
        last.finish();
      }
      closeAndNotify(true);
    }
  }

  private synchronized void connectionLost(HttpExchange connection) {
    if (exchange == connection) {
      exchange = null;
      keepAliveTimer.cancel();
      if (resumeWindowMicros == 0) {
        closeAndNotify(finished);
      } else {
        expiryTimer = loop.schedule(resumeWindowMicros, () -> closeAndNotify(finished));
      }
    }
  }

  private synchronized void closeAndNotify(boolean delivered) {
    if (!closed) {
      closed = true;
      expiryTimer.cancel();
      keepAliveTimer.cancel();
      listener.streamClosed(this, delivered);
    }
  }

  private void pauseProducer() {
    if (!producerPaused) {
      producerPaused = true;
      listener.pauseProducer();
    }
  }

  private synchronized void resumeProducer() {
    if (producerPaused) {
      producerPaused = false;
      listener.resumeProducer();
    }
  }
}
