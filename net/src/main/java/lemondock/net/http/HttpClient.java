package lemondock.net.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.NoRoomException;
import lemondock.net.sse.SseDecoder;
import lemondock.net.sse.SseEvent;

/**
 * An HTTP/1.1 client with pooled connections, one request at a time on each. An idle connection is
 * read from, so one that its peer closes leaves the pool at once. A failure says whether anything
 * can have reached the peer.
 */
public final class HttpClient {
  private static final int ANY = -1;
  private static final HttpEvent BEGUN = new HttpEvent.Began();

  /** Whoever asked last must not be held by an idle connection. */
  private static final Receiver NOBODY =
      new Receiver() {
        @Override
        public void done() {}

        @Override
        public void failed(Failure failure, String what) {}
      };

  private final Loop loop;
  private final Network network;
  private final Options options;
  private final Map<InetSocketAddress, Host> hosts = new HashMap<>();
  private final Set<Line> all = new HashSet<>();

  /**
   * What the client does; times in microseconds.
   *
   * @param limits of responses
   * @param event bytes of one event of a stream
   * @param perHost connections to one address at a time; a request beyond it fails unsent
   * @param connect time for a connection to come up
   * @param idle time until an unused connection is closed
   * @param total connections to all addresses together; the one unused for longest makes room for
   *     another
   * @param quiet time without a byte after a response until its connection is used again: a peer
   *     that sends more than it was asked for would be taken to answer the next request
   */
  public record Options(
      HttpLimits limits, int event, int perHost, long connect, long idle, int total, long quiet) {
    /** Without a bound on all connections together, for peers that keep to the protocol. */
    public Options(HttpLimits limits, int event, int perHost, long connect, long idle) {
      this(limits, event, perHost, connect, idle, Integer.MAX_VALUE, 0);
    }
  }

  /** Why a request brought no whole response. */
  public enum Failure {
    /**
     * The last byte of the request was not handed to the system: the peer provably never had all of
     * it.
     */
    NOT_SENT,
    /**
     * Nor was it sent, and what was wanting is this side's: the bound on connections, file handles,
     * ports.
     */
    NO_ROOM,
    /** The connection broke; the peer may have seen the request. */
    BROKEN,
    /** The response does not follow the protocol; its connection was broken. */
    MALFORMED
  }

  /**
   * What becomes of a request: a head, then events or one body, then done; or failed at any point.
   */
  public interface Receiver {
    /**
     * Turns an event of the stream into what {@link #event} gets, on an I/O thread; must not touch
     * the loop.
     */
    default Object map(SseEvent event) {
      return event;
    }

    /**
     * Takes an event's data (UTF-8) on the I/O thread where it lies, so that the loop never hears
     * of it; false if it cannot, then the event goes the usual way. It is offered events only while
     * none before them waits for the loop.
     */
    default boolean direct(byte[] data, int length) {
      return false;
    }

    /** The response's status and headers. */
    default void head(HttpEvent.ResponseHead head) {}

    /** One event of an event stream. */
    default void event(Object mapped) {}

    /** The whole content of a response that is no event stream. */
    default void body(byte[] bytes) {}

    /** The response is complete. */
    void done();

    /** No whole response will come; nothing follows. */
    void failed(Failure failure, String what);
  }

  /** A receiver that keeps the head and the content for when the response is complete. */
  public abstract static class Keeping implements Receiver {
    private HttpEvent.ResponseHead head;
    private byte[] body = new byte[0];

    @Override
    public void head(HttpEvent.ResponseHead got) {
      head = got;
    }

    @Override
    public void body(byte[] bytes) {
      body = bytes;
    }

    /** The content, empty if it was an event stream or has not come. */
    protected byte[] body() {
      return body;
    }

    /** The status, 0 before the head has come. */
    protected int status() {
      return head == null ? 0 : head.status();
    }

    /** A header field's first value, null if there is none. */
    protected String header(String name) {
      return head == null ? null : head.headers().get(name);
    }
  }

  private static final class Host {
    private final ArrayDeque<Line> idle = new ArrayDeque<>();
    private int lines;

    /** The idle connection used last, of that shard if it can be. */
    Line take(int near, boolean any) {
      Line last = idle.peekLast();
      if (last == null || near == ANY || any || last.connection.shard() == near) {
        return idle.pollLast();
      }
      for (Iterator<Line> all = idle.descendingIterator(); all.hasNext(); ) {
        Line line = all.next();
        if (line.connection.shard() == near) {
          all.remove();
          return line;
        }
      }
      return null;
    }
  }

  /** Makes a client. */
  public HttpClient(Loop loop, Network network, Options options) {
    this.loop = loop;
    this.network = network;
    this.options = options;
  }

  /** Sends a request; the receiver is never called before this returns. */
  public Call send(InetSocketAddress to, ByteBuffer request, Receiver receiver) {
    return send(to, () -> request, ANY, receiver);
  }

  /**
   * The same over a connection of the shard of that number, unless only others may still be had.
   */
  public Call send(InetSocketAddress to, ByteBuffer request, int near, Receiver receiver) {
    return send(to, () -> request, near, receiver);
  }

  /**
   * The same with a request that is made in the moment in which its bytes are written, once its
   * connection is up: what it says of the time left is true then. One that is null by then is not
   * sent, and fails as such.
   */
  public Call send(InetSocketAddress to, Supplier<ByteBuffer> request, Receiver receiver) {
    return send(to, request, ANY, receiver);
  }

  private Call send(
      InetSocketAddress to, Supplier<ByteBuffer> request, int near, Receiver receiver) {
    Host host = hosts.computeIfAbsent(to, k -> new Host());
    Call call = new Call(receiver);
    Line line = host.take(near, host.lines >= options.perHost());
    if (line != null) {
      line.begin(call, request);
    } else if (host.lines >= options.perHost() || all.size() >= options.total() && !makeRoom()) {
      loop.execute(() -> call.fail(Failure.NO_ROOM, "all connections to " + to + " are in use"));
    } else {
      host.lines++;
      Line made = new Line(to, host);
      all.add(made);
      made.call = call;
      made.request = request;
      call.line = made;
      if (near == ANY) {
        network.connect(to, options.connect(), made);
      } else {
        network.connect(to, options.connect(), near, made);
      }
    }
    return call;
  }

  /** Closes the connection that has been unused for longest; false if all are in use. */
  private boolean makeRoom() {
    Line oldest = null;
    for (Host host : hosts.values()) {
      Line first = host.idle.peekFirst();
      if (first != null && (oldest == null || first.idleSince < oldest.idleSince)) {
        oldest = first;
      }
    }
    if (oldest != null) {
      oldest.leave();
    }
    return oldest != null;
  }

  /** Connections open or coming up, over all addresses. */
  public int connections() {
    return all.size();
  }

  /** Requests that a connection carries or waits to carry, by address. */
  public Map<InetSocketAddress, Integer> busy() {
    Map<InetSocketAddress, Integer> busy = new HashMap<>();
    all.stream().filter(l -> l.call != null).forEach(l -> busy.merge(l.to, 1, Integer::sum));
    return busy;
  }

  /** Whether a connection to that address waits to be used. */
  public boolean hasIdle(InetSocketAddress to) {
    Host host = hosts.get(to);
    return host != null && !host.idle.isEmpty();
  }

  /** One request under way. Loop thread only. */
  public final class Call {
    private final Receiver receiver;
    private Line line;
    private boolean over;
    private volatile boolean paused;

    private Call(Receiver receiver) {
      this.receiver = receiver;
    }

    /** Reads no more until {@link #resume}; what was read already still comes. */
    public void pause() {
      paused = true;
    }

    /** Reads on. */
    public void resume() {
      if (paused) {
        paused = false;
        if (line != null && line.connection != null && !over) {
          line.connection.read();
        }
      }
    }

    /** Breaks the connection; the receiver hears nothing more. False if it had ended before. */
    public boolean cancel() {
      if (over) {
        return false;
      }
      over = true;
      if (line != null) {
        line.drop();
      }
      return true;
    }

    private void fail(Failure failure, String what) {
      if (!over) {
        over = true;
        receiver.failed(failure, what);
      }
    }
  }

  private record Body(byte[] bytes) {}

  /**
   * Bytes came that answer no request, or before anything of the next one was written: surplus of
   * an answer, however late.
   */
  private enum Surplus {
    BYTES
  }

  /** One connection. */
  private final class Line implements Connection.Handler {
    private final InetSocketAddress to;
    private final Host host;
    // the decoder's side
    private final HttpDecoder decoder =
        HttpDecoder.ofResponses(options.limits()).contentTo(this::content);
    private final List<HttpEvent> found = new ArrayList<>();
    private final SseDecoder.Taker taker = this::event;
    private List<Object> into;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream(0);
    private SseDecoder sse;
    private boolean answering;

    /** An answer ended within the bytes at hand. */
    private boolean ended;

    private volatile Receiver mapper;
    // the loop's side
    private Connection connection;
    private volatile Call call;
    private Supplier<ByteBuffer> request;
    private boolean keepAlive;
    private volatile boolean dropped;

    /** Where the request begins in what the connection has carried. */
    private volatile long firstByte;

    /** Where its last byte lies. */
    private long lastByte;

    private String dropReason;
    private long idleSince;
    private Loop.Timer idleLimit = () -> {};

    Line(InetSocketAddress to, Host host) {
      this.to = to;
      this.host = host;
    }

    void begin(Call next, Supplier<ByteBuffer> made) {
      idleLimit.cancel();
      firstByte =
          connection.flushed()
              + connection.pending(); // before the call: the I/O thread looks at both
      call = next;
      call.line = this;
      mapper = call.receiver;
      ByteBuffer bytes = made.get();
      if (bytes == null) {
        call = null;
        next.line = null;
        mapper = NOBODY;
        connection.read();
        rest();
        loop.execute(() -> next.fail(Failure.NOT_SENT, to + ": withdrawn before it was written"));
        return;
      }
      lastByte = firstByte + bytes.remaining();
      connection.write(bytes);
      connection.read();
    }

    void drop() {
      dropped = true;
      call = null;
      if (connection != null) {
        connection.abort();
      }
    }

    @Override
    public void connected(Connection made) {
      connection = made;
      if (dropped) {
        made.abort();
      } else {
        begin(call, request);
        request = null;
      }
    }

    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      if (!answering && (call == null || connection.offered() <= firstByte)) {
        events.add(Surplus.BYTES);
      }
      ended = false;
      into = events;
      decoder.decode(bytes, found);
      boolean more = found.contains(BEGUN);
      sortOut(events);
      if (more && ended && !answering) {
        events.add(Surplus.BYTES); // part of a further answer in the bytes that ended this one
      }
      into = null; // an idle connection holds nothing of what it carried
    }

    private void content(ByteBuffer piece) {
      sortOut(into); // the head may have come with it
      if (sse == null) {
        content.write(piece.array(), piece.arrayOffset() + piece.position(), piece.remaining());
        return;
      }
      try {
        sse.decode(piece, taker);
      } catch (IllegalArgumentException e) {
        into.add(new HttpEvent.Malformed(502, e.getMessage()));
      }
    }

    private void event(String id, String type, byte[] data, int length) {
      if (!into.isEmpty() || !mapper.direct(data, length)) {
        into.add(
            mapper.map(
                new SseEvent(id, type, new String(data, 0, length, StandardCharsets.UTF_8))));
      }
    }

    private void sortOut(List<Object> events) {
      for (int i = 0; i < found.size(); i++) {
        HttpEvent event = found.get(i);
        if (event instanceof HttpEvent.ResponseHead head) {
          answering = true;
          String type = head.headers().get("content-type");
          sse =
              type != null && type.startsWith("text/event-stream")
                  ? new SseDecoder(options.event())
                  : null;
          events.add(head);
        } else if (event instanceof HttpEvent.End) {
          answering = false;
          ended = true;
          if (sse == null) {
            events.add(new Body(content.toByteArray()));
            content.reset();
          }
          events.add(event);
        } else if (event instanceof HttpEvent.Malformed) {
          events.add(event);
        }
      }
      found.clear();
    }

    @Override
    public boolean readsOn() {
      Call now = call;
      return now != null && !now.paused && !dropped;
    }

    @Override
    public void received(List<Object> events) {
      for (Object event : events) {
        if (dropped) {
          return;
        }
        if (call == null) {
          leave(); // bytes that no request asked for
          return;
        }
        take(event);
      }
      if (!dropped && (call == null || !call.paused)) {
        connection.read();
      }
    }

    private void take(Object event) {
      Call now = call;
      if (event instanceof HttpEvent.ResponseHead head) {
        keepAlive = head.keepAlive();
        now.receiver.head(head);
      } else if (event instanceof Body body) {
        now.receiver.body(body.bytes());
      } else if (event instanceof HttpEvent.End) {
        finish(now);
      } else if (event == Surplus.BYTES) {
        dropped = true; // the call stays: it fails as one that was never sent
        dropReason = "bytes came before the request was written";
        connection.abort();
      } else if (event instanceof HttpEvent.Malformed bad) {
        call = null;
        dropped = true;
        connection.abort();
        now.fail(Failure.MALFORMED, to + ": " + bad.what());
      } else {
        now.receiver.event(event);
      }
    }

    private void finish(Call ended) {
      call = null;
      mapper = NOBODY;
      ended.over = true;
      if (keepAlive && options.quiet() > 0) {
        idleLimit = loop.schedule(options.quiet(), this::rest);
      } else if (keepAlive) {
        rest();
      } else {
        connection.close();
      }
      ended.receiver.done();
    }

    private void rest() {
      idleSince = loop.now();
      host.idle.add(this);
      idleLimit =
          loop.schedule(
              options.idle(),
              () -> {
                host.idle.remove(this);
                connection.close();
              });
    }

    /**
     * Out of the pool at once: what were sent on it before its close is heard of would count as
     * sent.
     */
    private void leave() {
      dropped = true;
      idleLimit.cancel();
      host.idle.remove(this);
      connection.abort();
    }

    @Override
    public void ended() {
      List<Object> events = new ArrayList<>();
      decoder.end(found);
      boolean cut = found.stream().anyMatch(e -> e instanceof HttpEvent.Malformed);
      sortOut(events);
      if (!cut) {
        events.stream().takeWhile(e -> !dropped && call != null).forEach(this::take);
      }
      idleLimit.cancel();
      host.idle.remove(this);
      connection.abort();
    }

    @Override
    public void drained() {}

    @Override
    public void closed(IOException cause) {
      idleLimit.cancel();
      host.lines--;
      all.remove(this);
      host.idle.remove(this);
      if (host.lines == 0 && host.idle.isEmpty()) {
        hosts.remove(to, host);
      }
      if (call != null) {
        Call lost = call;
        call = null;
        boolean sent = connection != null && connection.flushed() >= lastByte;
        lost.fail(
            sent
                ? Failure.BROKEN
                : cause instanceof NoRoomException ? Failure.NO_ROOM : Failure.NOT_SENT,
            to
                + ": "
                + (dropReason != null
                    ? dropReason
                    : cause == null ? "closed by its peer" : cause.getMessage()));
      }
    }
  }
}
