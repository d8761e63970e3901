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
 * within the resume window with the last event id it received, and gets the events after that one.
 *
 * <p>The stream's lock, its monitor, guards all mutable fields. Loop thread only, except for {@link
 * #hasCapacity} and {@link #send(ProgressNotification, int, CharSequence)}, which an I/O thread may
 * call.
 */
final class ResumableEventStream {
  private static final long HIGH_WATER_MARK_BYTES = 64 * 1024;

  /**
   * Space reserved for an event that an I/O thread sends. Its text is limited to {@code
   * MAX_DIRECT_CHARS} characters by {@code AnswerRequestListener}, each at most 6 bytes of JSON.
   */
  private static final long DIRECT_EVENT_RESERVE_BYTES = 16 * 1024;

  private static final byte[] EVENT_LINE = "event: message\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID_FIELD = "id: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "\ndata: ".getBytes(StandardCharsets.US_ASCII);

  /** Typical size of an event that carries a piece of an answer. */
  private static final int TYPICAL_EVENT_BYTES = 240;

  private final Loop loop;
  private final long number;
  private final Options options;
  private final Listener listener;

  /** The event that is being written; reused, so that writing an event allocates no memory. */
  private final OutBuffer out = new OutBuffer(TYPICAL_EVENT_BYTES);

  private final EventReplayBuffer replayBuffer;

  /** The connection that carries the stream; null while disconnected. */
  private HttpExchange exchange;

  private Loop.Timer expiryTimer = () -> {};
  private Loop.Timer keepAliveTimer = () -> {};

  /** No further event will be sent; earlier events may still be replayed. */
  private boolean finished;

  /** The listener was notified that the stream is closed. */
  private boolean closed;

  private boolean producerPaused;

  /** Receives notifications of a stream, on the loop thread with the stream's lock held. */
  interface Listener {
    /** Stops producing events until {@link #resumeProducer}. */
    void pauseProducer();

    /** Resumes producing events. */
    void resumeProducer();

    /**
     * The stream was closed.
     *
     * @param delivered false if the connection was lost and the client did not reconnect in time
     */
    void streamClosed(ResumableEventStream stream, boolean delivered);
  }

  /**
   * The limits of a stream.
   *
   * @param replayBytes maximum size of the sent events that are kept for replay
   * @param resumeWindowMicros time within which a client may reconnect; 0 to disallow it
   * @param keepAliveMicros interval between the comments that keep the connection open
   */
  record Options(int replayBytes, long resumeWindowMicros, long keepAliveMicros) {}

  ResumableEventStream(Loop loop, long number, Options options, Listener listener) {
    this.loop = loop;
    this.number = number;
    this.options = options;
    this.listener = listener;
    this.replayBuffer = new EventReplayBuffer(options.replayBytes());
  }

  /** Returns the first part of the event ids; unique within the session. */
  long number() {
    return number;
  }

  /**
   * Starts the stream on the connection of its request.
   *
   * @param hasPrimingEvent whether an empty event is sent first, to give the client an event id
   */
  synchronized void open(HttpExchange connection, String sessionId, boolean hasPrimingEvent) {
    attach(connection, sessionId);
    if (hasPrimingEvent) {
      sendPrimingEvent();
    }
  }

  /**
   * Resumes the stream on another connection after the event with that number.
   *
   * @return false if the stream is closed or does not have all events after that one
   */
  synchronized boolean resume(HttpExchange connection, String sessionId, long lastSeenNumber) {
    if (!replayBuffer.contains(lastSeenNumber) || closed) {
      return false;
    }
    if (exchange != null) {
      HttpExchange previous = exchange;
      exchange = null;
      previous.abort(); // one connection at a time: the newer one replaces it
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
    connection.onDisconnect(() -> onConnectionLost(connection));
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
   * Returns whether another event can be sent without pausing the producer. An I/O thread checks
   * this before it sends, since only the loop thread may pause the producer.
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

  /** Sends a message, which is JSON without line breaks. */
  synchronized void send(String json) {
    if (!finished) {
      beginEvent(true);
      out.addUtf8(json);
      endEvent();
    }
  }

  /** Sends a piece of an answer; called for each token, so it allocates no memory. */
  synchronized void send(ProgressNotification progress, int tokens, CharSequence piece) {
    if (!finished) {
      beginEvent(true);
      progress.write(tokens, piece, out);
      endEvent();
    }
  }

  private void beginEvent(boolean isMessage) {
    out.reset();
    if (isMessage) {
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
   * Ends the stream and the response on its connection. The events are kept for the resume window,
   * for a client that missed the last ones.
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
    HttpExchange connection = exchange;
    exchange = null;
    connection.finish();
    expiryTimer = loop.schedule(options.resumeWindowMicros(), () -> closeAndNotify(true));
  }

  /** Ends the stream immediately, without a resume window. */
  synchronized void close() {
    if (!closed) {
      HttpExchange connection = exchange;
      exchange = null;
      finished = true;
      if (connection != null) {
        connection.finish();
      }
      closeAndNotify(true);
    }
  }

  private synchronized void onConnectionLost(HttpExchange connection) {
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
