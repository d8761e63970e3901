package lemondock.gateway.front;

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
final class Stream {
  private static final long HIGH_MARK = 64 * 1024;

  /** More than an event on the direct way takes: an engine's event is smaller. */
  private static final long ROOM = 16 * 1024;

  private static final byte[] TYPE = "event: message\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID = "id: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA = "\ndata: ".getBytes(StandardCharsets.US_ASCII);

  /** Bytes of an event with a piece of an answer. */
  private static final int USUAL = 240;

  private final OutBuffer out = new OutBuffer(USUAL);
  private final Loop loop;
  private final long number;
  private final EventLog log;
  private final long window;
  private final long keepAlive;
  private final Owner owner;
  private HttpExchange exchange;
  private Loop.Timer limit = () -> {};
  private Loop.Timer beat = () -> {};
  private boolean finished;
  private boolean closed;
  private boolean slowed;

  /** What a stream tells the one that fills it. */
  interface Owner {
    /** Produce no more until {@link #flow}. */
    void slow();

    /** Produce again. */
    void flow();

    /** No connection came back in time, or all was delivered: the stream is over. */
    void over(Stream stream, boolean delivered);
  }

  Stream(Loop loop, long number, int replayBytes, long window, long keepAlive, Owner owner) {
    this.loop = loop;
    this.number = number;
    this.log = new EventLog(replayBytes);
    this.window = window;
    this.keepAlive = keepAlive;
    this.owner = owner;
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
  synchronized void open(HttpExchange first, String session, boolean primer) {
    attach(first, session);
    if (primer) {
      send(null);
    }
  }

  /**
   * Goes on over another connection behind the event of that number; false if that cannot be done.
   */
  synchronized boolean resume(HttpExchange next, String session, long lastSeen) {
    if (!log.keeps(lastSeen) || closed) {
      return false;
    }
    if (exchange != null) {
      HttpExchange before = exchange;
      exchange = null;
      before.abort(); // one connection at a time: the newer one wins
    }
    attach(next, session);
    log.after(lastSeen, next::send);
    log.markSent();
    if (finished) {
      complete();
    } else {
      unslow();
    }
    return true;
  }

  private void attach(HttpExchange to, String session) {
    limit.cancel();
    exchange = to;
    Headers headers =
        Headers.of(
            "content-type",
            "text/event-stream",
            "cache-control",
            "no-cache, no-transform",
            "x-accel-buffering",
            "no");
    if (session != null) {
      headers.add("mcp-session-id", session);
    }
    to.onDisconnect(() -> lost(to));
    to.onWriteQueueDrained(this::unslow);
    to.begin(200, headers);
    heartbeat();
  }

  private void heartbeat() {
    beat.cancel();
    beat =
        loop.schedule(
            keepAlive,
            () -> {
              synchronized (this) {
                if (exchange != null) {
                  exchange.send(SseEvent.comment("keep-alive"));
                  heartbeat();
                }
              }
            });
  }

  /**
   * Whether a further event can be sent without telling the owner to slow down: asked on an I/O
   * thread before it sends, since slowing down is for the loop.
   */
  synchronized boolean flows() {
    return exchange != null && !finished && !slowed && exchange.pendingBytes() <= HIGH_MARK - ROOM;
  }

  /** Sends an event whose data is a message; null sends an empty one, for its id alone. */
  synchronized void send(String data) {
    if (!finished) {
      begin(data != null);
      out.addUtf8(
          data == null ? "" : data); // JSON on one line: what this program writes has no line ends
      // outside of strings
      end();
    }
  }

  /** Sends a piece of an answer. */
  synchronized void send(Progress progress, int tokens, CharSequence piece) {
    if (!finished) {
      begin(true);
      progress.write(tokens, piece, out);
      end();
    }
  }

  private void begin(boolean message) {
    out.reset();
    if (message) {
      out.add(TYPE);
    }
    out.add(ID).addDecimal(number).add('-').addDecimal(log.nextNumber()).add(DATA);
  }

  private void end() {
    out.add('\n').add('\n');
    log.append(out.array(), out.offset(), out.length());
    if (exchange != null) {
      exchange.send(out);
      log.markSent();
      if (exchange.pendingBytes() > HIGH_MARK) {
        slow();
      }
    } else if (log.full()) {
      slow();
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
    beat.cancel();
    HttpExchange last = exchange;
    exchange = null;
    last.finish();
    limit = loop.schedule(window, () -> over(true));
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
      over(true);
    }
  }

  private synchronized void lost(HttpExchange by) {
    if (exchange == by) {
      exchange = null;
      beat.cancel();
      if (window == 0) {
        over(finished);
      } else {
        limit = loop.schedule(window, () -> over(finished));
      }
    }
  }

  private synchronized void over(boolean delivered) {
    if (!closed) {
      closed = true;
      limit.cancel();
      beat.cancel();
      owner.over(this, delivered);
    }
  }

  private void slow() {
    if (!slowed) {
      slowed = true;
      owner.slow();
    }
  }

  private synchronized void unslow() {
    if (slowed) {
      slowed = false;
      owner.flow();
    }
  }
}
