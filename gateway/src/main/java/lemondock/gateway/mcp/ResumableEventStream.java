package lemondock.gateway.mcp;

import java.nio.charset.StandardCharsets;
import lemondock.net.Loop;
import lemondock.net.OutBuffer;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.sse.SseEvent;
import lemondock.rpc.Mcp;

/**
 * One event stream of a session. It outlives the connection that carries it: a client may reconnect
 * within the resume window with the last event id it saw, and gets what followed.
 *
 * <p>The stream is its own lock, which guards all fields that change. Loop thread only, but for
 * {@link #hasCapacity} and {@link #send(ProgressNotification, int, CharSequence)}, which an I/O
 * thread may call.
 */
final class ResumableEventStream {
  private static final long HIGH_WATER_MARK_BYTES = 64 * 1024;

  /** More than an event takes that an I/O thread sends: an engine's event is smaller. */
  private static final long DIRECT_EVENT_RESERVE_BYTES = 16 * 1024;

  private static final byte[] EVENT_LINE = "event: message\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID_FIELD = "id: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "\ndata: ".getBytes(StandardCharsets.US_ASCII);

  /** Bytes of an event with a piece of an answer. */
  private static final int TYPICAL_EVENT_BYTES = 240;

  private final Loop loop;
  private final long number;
  private final Options options;
  private final Listener listener;

  /** The event that is being written; reused, so that an event costs no memory of its own. */
  private final OutBuffer out = new OutBuffer(TYPICAL_EVENT_BYTES);

  private final EventReplayBuffer replayBuffer;

  /** The connection that carries the stream; null while there is none. */
  private HttpExchange exchange;

  private Loop.Timer expiryTimer = () -> {};
  private Loop.Timer keepAliveTimer = () -> {};

  /** No event follows; what was sent may still be replayed. */
  private boolean finished;

  /** The listener was told that the stream is over. */
  private boolean closed;

  private boolean producerPaused;

  /** What a stream tells the one that fills it; on the loop, with the stream's lock held. */
  interface Listener {
    /** Produce no more until {@link #resumeProducer}. */
    void pauseProducer();

    /** Produce again. */
    void resumeProducer();

    /**
     * The stream is over.
     *
     * @param delivered false if its connection broke and the client did not reconnect in time
     */
    void streamClosed(ResumableEventStream stream, boolean delivered);
  }

  /**
   * The limits of a stream.
   *
   * @param replayBytes size of the events that are kept to be replayed
   * @param resumeWindowMicros time within which a client may reconnect; 0 for not at all
   * @param keepAliveMicros time between two comments that keep the connection open
   */
  record Options(int replayBytes, long resumeWindowMicros, long keepAliveMicros) {}

  ResumableEventStream(Loop loop, long number, Options options, Listener listener) {
    this.loop = loop;
    this.number = number;
    this.options = options;
    this.listener = listener;
    this.replayBuffer = new EventReplayBuffer(options.replayBytes());
  }

  /** The first part of the ids of its events; unique within the session. */
  long number() {
    return number;
  }

  /**
   * Begins the stream on the connection of its request.
   *
   * @param hasPrimingEvent whether an empty event gives the client an id before any other
   */
  synchronized void open(HttpExchange connection, String sessionId, boolean hasPrimingEvent) {
    attach(connection, sessionId);
    if (hasPrimingEvent) {
      sendPrimingEvent();
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
            ContentNegotiation.EVENT_STREAM,
            "cache-control",
            "no-cache, no-transform",
            "x-accel-buffering",
            "no");
    headers.add(Mcp.SESSION_HEADER, sessionId);
    connection.onDisconnect(() -> connectionLost(connection));
    connection.onWriteQueueDrained(this::resumeProducer);
    connection.begin(200, headers);
    scheduleKeepAlive();
  }

  private void scheduleKeepAlive() {
    keepAliveTimer.cancel();
    keepAliveTimer = loop.schedule(options.keepAliveMicros(), this::sendKeepAlive);
  }

  private synchronized void sendKeepAlive() {
    if (exchange != null) {
      exchange.send(SseEvent.comment("keep-alive"));
      scheduleKeepAlive();
    }
  }

  /**
   * Whether a further event can be sent without pausing the producer: asked on an I/O thread before
   * it sends, since pausing is for the loop.
   */
  synchronized boolean hasCapacity() {
    return exchange != null
        && !finished
        && !producerPaused
        && exchange.pendingBytes() <= HIGH_WATER_MARK_BYTES - DIRECT_EVENT_RESERVE_BYTES;
  }

  private void sendPrimingEvent() {
    if (!finished) {
      beginEvent(false);
      endEvent();
    }
  }

  /** Sends a message: JSON without line ends outside of strings. */
  synchronized void send(String json) {
    if (!finished) {
      beginEvent(true);
      out.addUtf8(json);
      endEvent();
    }
  }

  /** Sends a piece of an answer; called for each token, so it allocates nothing. */
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
   * No event follows; the connection's response ends, and the events are kept for a client that
   * missed the last ones.
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
    expiryTimer = loop.schedule(options.resumeWindowMicros(), () -> closeAndNotify(true));
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
      if (options.resumeWindowMicros() == 0) {
        closeAndNotify(finished);
      } else {
        expiryTimer = loop.schedule(options.resumeWindowMicros(), () -> closeAndNotify(finished));
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
