package lemondock.net.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.OutBuffer;

/**
 * An HTTP/1.1 server on a {@link Network}: keep-alive, pipelining (answered one after another),
 * 100-continue, whole or chunked answers. Time limits guard against peers that hold a connection
 * without using it.
 */
public final class HttpServer {
  private static final ByteBuffer CONTINUE =
      ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
          .asReadOnlyBuffer();
  private static final Refusal NO_PLACE =
      new Refusal(
          1,
          "text/plain; charset=utf-8",
          "too many requests wait to be read\n".getBytes(StandardCharsets.US_ASCII),
          () -> {});
  private static final byte[] NOTHING = new byte[0];
  private static final int MOST_PIPELINED = 16;

  /**
   * Content of this length (bytes) is small; large ones together may not take what small ones need.
   */
  private static final int SMALL = 16 * 1024;

  private static final double LARGE_PART = 0.75;

  /** Of the connections, those kept for who comes next: closing one takes a moment. */
  private static final int SPARE = 8;

  private static final int SPARE_PART = 16;
  private static final long CUT_WITHIN = 2_000_000;

  private final Loop loop;
  private final Options options;
  private final Service service;
  private final Budget bodies;
  private final Set<Peer> unused = new LinkedHashSet<>();
  private Network.Listener listener;
  private int peers;
  private int exchanges;
  private boolean draining;

  /**
   * What the server holds its peers to; times in microseconds.
   *
   * @param limits of the messages
   * @param connections open at a time
   * @param bodies bytes of request content held at a time, over all connections
   * @param idle time without a request until a connection is closed
   * @param request time from a request's first byte to its last
   * @param stall time without progress of an answer until its connection is broken
   * @param heavy bytes of content from which on a request is prepared by {@code workers}, not on
   *     its shard's thread, where the streams of that shard would wait for it
   * @param first time from a connection's beginning until its first request must be whole, 0 if
   *     only the other limits count; where it is set, the connection unused for longest makes room
   *     for another when all are taken
   * @param workers may refuse with {@link RejectedExecutionException} when they have too much to do
   * @param readsPast whether requests behind those that may wait on a connection are read past and
   *     left to be sent again elsewhere, as the last answer then says: for clients that ask one
   *     thing at a time and whose close must be seen whatever they sent before it. Else they are
   *     not read until there is room
   */
  public record Options(
      HttpLimits limits,
      int connections,
      long bodies,
      long idle,
      long request,
      long stall,
      int heavy,
      Executor workers,
      long first,
      boolean readsPast) {

    /** A server whose clients may open connections ahead of their requests. */
    public Options(
        HttpLimits limits,
        int connections,
        long bodies,
        long idle,
        long request,
        long stall,
        int heavy,
        Executor workers) {
      this(limits, connections, bodies, idle, request, stall, heavy, workers, 0, false);
    }

    /** A server without heavy requests. */
    public Options(
        HttpLimits limits, int connections, long bodies, long idle, long request, long stall) {
      this(limits, connections, bodies, idle, request, stall, Integer.MAX_VALUE, Runnable::run);
    }
  }

  /** A whole request. */
  public record Request(String method, String target, Headers headers, byte[] body) {
    /** The target up to its query. */
    public String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    /** The value of a parameter of the query as it stands, null if there is none. */
    public String parameter(String name) {
      int query = target.indexOf('?');
      if (query >= 0) {
        for (String pair : target.substring(query + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return null;
    }
  }

  /** What answers requests. */
  public interface Service {
    /**
     * Whether {@link #serve} looks at the content of a request; else it is let go of once the
     * request is prepared.
     */
    default boolean servesContent() {
      return true;
    }

    /**
     * A quick look at a heavy request on an I/O thread, before any work on it is done: null to have
     * it prepared, or the answer it gets instead. Like {@link #prepare} it must not touch the
     * loop's state. The request has {@link #glance} bytes of its content or more, but not all that
     * is to come; once it is turned away the rest is read past and not kept.
     */
    default Refusal turnsAway(Request request) {
      return null;
    }

    /** Bytes of content that {@link #turnsAway} needs to say the same as with all of it. */
    default int glance() {
      return Integer.MAX_VALUE;
    }

    /**
     * Work that depends on the request alone, done on an I/O thread to spare the loop. It must not
     * touch the loop's state; what it throws is a defect and breaks the connection.
     */
    default Object prepare(Request request) {
      return null;
    }

    /** Answers on the loop, now or later. */
    void serve(Exchange exchange);
  }

  /**
   * An answer of 503, in place of work.
   *
   * @param retryAfter seconds
   * @param type of the body
   * @param counted run on the loop when it is given
   */
  public record Refusal(long retryAfter, String type, byte[] body, Runnable counted) {}

  /** Makes a server; it listens from {@link #start} on. */
  public HttpServer(Loop loop, Options options, Service service) {
    this.loop = loop;
    this.options = options;
    this.service = service;
    this.bodies = new Budget(options.bodies());
  }

  /** Takes the address. */
  public void start(Network network, InetSocketAddress address) throws IOException {
    listener = network.listen(address, options.connections(), Peer::new);
  }

  /** The address taken. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Takes no new connections. */
  public void stopListening() {
    listener.close();
  }

  /** Closes connections between requests, now and whenever an answer ends; answers say so. */
  public void drain() {
    draining = true;
    List.copyOf(unused).forEach(peer -> peer.leave(true));
  }

  /** Requests that an answer is awaited for or under way. */
  public int exchanges() {
    return exchanges;
  }

  /** Connections open. */
  public int peers() {
    return peers;
  }

  /** One request and its answer. Loop thread only. */
  public final class Exchange {
    private final Peer peer;
    private final Request request;
    private final Object prepared;
    private final boolean keepAlive;
    private final boolean chunks;
    private boolean begun;
    private boolean finished;
    private boolean closeAfter;
    private Runnable onGone = () -> {};
    private Runnable onDrained = () -> {};

    private Exchange(
        Peer peer, Request request, Object prepared, boolean keepAlive, boolean chunks) {
      this.peer = peer;
      this.request = request;
      this.prepared = prepared;
      this.keepAlive = keepAlive;
      this.chunks = chunks;
    }

    /** The request. */
    public Request request() {
      return request;
    }

    /** The shard of the client's connection. */
    public int shard() {
      return peer.connection.shard();
    }

    /** What {@link Service#prepare} made of the request. */
    public Object prepared() {
      return prepared;
    }

    /** The client's address, null if the connection is closed already. */
    public InetSocketAddress peer() {
      return peer.connection.peer();
    }

    /** Answers whole; a no-op if an answer was begun or the connection is gone. */
    public void respond(int status, Headers headers, byte[] body) {
      if (begun || peer.current != this) {
        return;
      }
      begun = true;
      ByteBuffer bytes = HttpEncoder.response(status, closing(headers), body);
      if (request.method().equals("HEAD")) {
        bytes.limit(bytes.limit() - body.length);
      }
      peer.connection.write(bytes);
      end();
    }

    /** Begins an answer in pieces. */
    public void begin(int status, Headers headers) {
      if (!begun && peer.current == this) {
        begun = true;
        if (chunks) {
          peer.connection.write(HttpEncoder.chunkedHead(status, closing(headers)));
        } else {
          closeAfter = true;
          ByteBuffer head = HttpEncoder.response(status, closing(headers), new byte[0]);
          String text =
              StandardCharsets.ISO_8859_1
                  .decode(head)
                  .toString()
                  .replace("content-length: 0\r\n", "");
          peer.connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }
        peer.watchProgress();
      }
    }

    /**
     * Sends a piece of an answer that was begun. Any thread, for an answer that one holder of a
     * lock writes; see {@link Connection#writeNow}.
     */
    public void send(byte[] bytes) {
      if (begun && !finished && peer.current == this && bytes.length > 0) {
        peer.connection.writeNow(chunks ? HttpEncoder.chunk(bytes) : ByteBuffer.wrap(bytes));
      }
    }

    /**
     * The same for a piece that stays the caller's; its buffer is framed in place, and to be reset
     * before it is used again.
     */
    public void send(OutBuffer piece) {
      if (begun && !finished && peer.current == this && piece.length() > 0) {
        OutBuffer framed = chunks ? piece.chunked() : piece;
        peer.connection.writeNow(framed.array(), framed.from(), framed.length());
      }
    }

    /** Ends an answer in pieces. */
    public void finish() {
      if (begun && !finished && peer.current == this) {
        if (chunks) {
          peer.connection.write(HttpEncoder.lastChunk());
        }
        end();
      }
    }

    /** Breaks the connection, whatever was answered. */
    public void abort() {
      if (peer.current == this) {
        peer.connection.abort();
      }
    }

    /**
     * Ends the connection behind what was sent so far, without ending the answer: its client gets
     * all there is and sees that it is not whole. One that does not take it in time is cut off all
     * the same.
     */
    public void cut() {
      if (begun && !finished && peer.current == this) {
        finished = true;
        exchanges--;
        peer.closing = true;
        peer.connection.close();
        loop.schedule(CUT_WITHIN, peer.connection::abort);
      }
    }

    /** Bytes of this connection's answers that the operating system has not taken. */
    public long pending() {
      return peer.connection.pending();
    }

    /** Whether an answer may still be given or go on. */
    public boolean open() {
      return !finished && peer.current == this;
    }

    /** Called if the connection is lost before the answer is finished. */
    public void onGone(Runnable task) {
      onGone = task;
    }

    /** Called when the queue of bytes has run low after having been long. */
    public void onDrained(Runnable task) {
      onDrained = task;
    }

    private Headers closing(Headers headers) {
      if (!keepAlive || closeAfter || peer.closing || draining) {
        closeAfter = true;
        headers.add("connection", "close");
      }
      return headers;
    }

    private void end() {
      finished = true;
      peer.finished(this);
    }
  }

  /** A request as it leaves the decoder; a heavy one is not prepared yet. */
  private static final class Arrived {
    private final Request request;
    private final boolean keepAlive;
    private final boolean chunks;
    private final boolean heavy;
    private Object prepared;
    private boolean ready;
    private Refusal refusal;

    Arrived(Request request, boolean keepAlive, boolean chunks, boolean heavy) {
      this.request = request;
      this.keepAlive = keepAlive;
      this.chunks = chunks;
      this.heavy = heavy;
    }

    void prepared(Object made) {
      prepared = made;
      ready = true;
    }
  }

  /** Asks for an interim answer. */
  private record Expects() {}

  /** One client's connection. */
  private final class Peer implements Connection.Handler {
    // the decoder's side, on I/O threads
    private final HttpDecoder decoder =
        HttpDecoder.ofRequests(options.limits()).contentTo(this::content);
    private ByteArrayOutputStream content = new ByteArrayOutputStream(0);
    private final List<HttpEvent> found = new ArrayList<>();
    private List<Object> into;
    private HttpEvent.RequestHead head;
    private Refusal refusal;
    private boolean glanced;
    private boolean noRoom;
    // the loop's side
    private final ArrayDeque<Arrived> waiting = new ArrayDeque<>();
    private Connection connection;
    private Exchange current;
    private boolean closing;
    private boolean leaving;
    private boolean overrun;
    private boolean progressWatched;
    private long heldBytes;
    private Loop.Timer limit = () -> {};
    private Loop.Timer first = () -> {};
    private Loop.Timer progress = () -> {};

    @Override
    public void connected(Connection made) {
      connection = made;
      peers++;
      if (options.first() > 0
          && peers >= options.connections() - Math.min(SPARE, options.connections() / SPARE_PART)
          && !unused.isEmpty()) {
        unused
            .iterator()
            .next()
            .leave(false); // those that say nothing must not keep out those that ask
      }
      if (options.first() > 0) {
        unused.add(this);
        first = loop.schedule(options.first(), () -> refuse(408, "no request came"));
      } else {
        awaitRequest();
      }
      made.read();
    }

    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      into = events;
      decoder.decode(bytes, found);
      sortOut(events);
      into = null; // an idle connection holds nothing of what it carried
    }

    /** A piece of content where it lies. */
    private void content(ByteBuffer piece) {
      sortOut(into); // the head may have come with it
      int size = piece.remaining();
      if (refusal != null || noRoom) {
        return; // read past
      }
      if (content.size() + size <= SMALL
          ? bodies.take(size)
          : bodies.takeWithin(LARGE_PART, size)) {
        content.write(piece.array(), piece.arrayOffset() + piece.position(), size);
      } else {
        noRoom = true;
        into.add(new HttpEvent.Malformed(503, "no room for the request's content"));
        return;
      }
      if (!glanced && content.size() >= Math.max(options.heavy(), service.glance())) {
        glance();
      }
    }

    private void glance() {
      glanced = true;
      refusal =
          service.turnsAway(
              new Request(head.method(), head.target(), head.headers(), content.toByteArray()));
      if (refusal != null) {
        bodies.give(content.size());
        content = new ByteArrayOutputStream(0);
      }
    }

    private void sortOut(List<Object> events) {
      for (int i = 0;
          i < found.size() && !noRoom;
          i++) { // else what was taken of the room stays with the content until the close
        HttpEvent event = found.get(i);
        if (event instanceof HttpEvent.RequestHead h) {
          head = h;
          if (h.headers().lists("expect", "100-continue")) {
            events.add(new Expects());
          }
        } else if (event instanceof HttpEvent.End) {
          events.add(whole());
        } else {
          events.add(event);
        }
      }
      found.clear();
    }

    private Arrived whole() {
      boolean heavy = content.size() >= options.heavy();
      if (heavy && !glanced) {
        glance();
      }
      Request request =
          new Request(head.method(), head.target(), head.headers(), content.toByteArray());
      content =
          new ByteArrayOutputStream(
              0); // a reset would keep its memory for as long as the connection
      Arrived arrived = new Arrived(request, head.keepAlive(), head.minor() > 0, heavy);
      arrived.refusal = refusal;
      arrived.ready = refusal != null;
      if (!heavy && refusal == null) {
        arrived.prepared(service.prepare(request));
      }
      refusal = null;
      glanced = false;
      return arrived;
    }

    @Override
    public void received(List<Object> events) {
      final boolean wasLeaving = leaving;
      leaving = false;
      for (Object event : events) {
        if (closing) {
          return;
        }
        if (event instanceof Arrived arrived) {
          limit.cancel();
          first.cancel();
          unused.remove(this);
          if (overrun || options.readsPast() && waiting.size() >= MOST_PIPELINED) {
            overrun = true;
            bodies.give(arrived.request.body().length);
            continue;
          }
          waiting.add(arrived);
          if (arrived.heavy && arrived.refusal == null) {
            prepareElsewhere(arrived);
          }
        } else if (event instanceof HttpEvent.Began) {
          limit.cancel();
          limit = loop.schedule(options.request(), () -> refuse(408, "the request took too long"));
          unused.remove(this);
        } else if (event instanceof Expects) {
          connection.write(CONTINUE.duplicate());
        } else if (event instanceof HttpEvent.Malformed bad) {
          refuse(bad.status(), bad.what());
          return;
        }
      }
      next();
      readOn();
      if (wasLeaving && events.isEmpty() && current == null && waiting.isEmpty()) {
        awaitRequest(); // what came was less than a beginning
      }
    }

    /** Has the workers prepare a request; what comes behind it on this connection waits. */
    private void prepareElsewhere(Arrived arrived) {
      try {
        options
            .workers()
            .execute(
                () -> {
                  Object made;
                  try {
                    made = service.prepare(arrived.request);
                  } catch (RuntimeException | Error e) {
                    loop.execute(
                        () -> {
                          connection.abort();
                          throw new IllegalStateException(
                              "a request could not be prepared",
                              e); // a defect: the loop reports it
                        });
                    return;
                  }
                  loop.execute(
                      () -> {
                        arrived.prepared(made);
                        next();
                        readOn();
                      });
                });
      } catch (RejectedExecutionException e) {
        arrived.refusal = NO_PLACE;
        arrived.ready = true;
      }
    }

    /** Only a read tells that the client has gone. */
    private void readOn() {
      if (!closing && (options.readsPast() || waiting.size() < MOST_PIPELINED)) {
        connection.read();
      }
    }

    private void next() {
      while (current == null && !waiting.isEmpty() && waiting.peek().ready && !closing) {
        Arrived arrived = waiting.poll();
        Request request = arrived.request;
        if (service.servesContent()) {
          heldBytes = request.body().length;
        } else {
          bodies.give(request.body().length);
          request = new Request(request.method(), request.target(), request.headers(), NOTHING);
        }
        exchanges++;
        boolean last = overrun && waiting.isEmpty(); // the answer says so, and the client sends the
        // rest once more elsewhere
        current =
            new Exchange(
                this, request, arrived.prepared, arrived.keepAlive && !last, arrived.chunks);
        if (arrived.refusal
            != null) { // the cheapest word there is; the connection stays, a new one
          // would cost more
          arrived.refusal.counted().run();
          current.respond(
              503,
              Headers.of(
                  "content-type",
                  arrived.refusal.type(),
                  "retry-after",
                  Long.toString(arrived.refusal.retryAfter())),
              arrived.refusal.body());
        } else {
          service.serve(current);
        }
      }
    }

    private void finished(Exchange exchange) {
      current = null;
      exchanges--;
      giveBack();
      if (exchange.closeAfter) {
        closing = true;
        connection.close();
        return;
      }
      watchProgress();
      if (waiting.isEmpty()) {
        awaitRequest();
      } else {
        loop.execute(
            () -> {
              next();
              readOn();
            });
      }
    }

    private void giveBack() {
      bodies.give(heldBytes);
      heldBytes = 0;
    }

    private void awaitRequest() {
      limit.cancel();
      if (draining) {
        leave(true);
        return;
      }
      unused.add(this);
      limit = loop.schedule(options.idle(), () -> leave(true));
    }

    /**
     * Closes it between two requests, unless bytes of one were read and are on their way here: then
     * it is served as if nothing had been asked. Without lingering where its place is wanted: a
     * connection that waits for its peer's close holds one.
     */
    private void leave(boolean lingers) {
      leaving = true;
      unused.remove(this);
      first.cancel();
      limit.cancel();
      connection.closeIfIdle(lingers);
    }

    /**
     * The stream of requests makes no sense any more: say so if no answer is under way, and close.
     */
    private void refuse(int status, String what) {
      closing = true;
      limit.cancel();
      first.cancel();
      unused.remove(this);
      if (current == null) {
        connection.write(
            HttpEncoder.response(
                status,
                Headers.of("content-type", "text/plain; charset=utf-8", "connection", "close"),
                (what + "\n").getBytes(StandardCharsets.UTF_8)));
        connection.close();
      } else {
        connection.abort();
      }
    }

    /**
     * Breaks the connection of a peer that takes nothing for too long while something is queued.
     */
    private void watchProgress() {
      if (!progressWatched && connection.pending() > 0 || !progressWatched && current != null) {
        progressWatched = true;
        long before = connection.flushed();
        boolean had = connection.pending() > 0;
        progress =
            loop.schedule(
                options.stall(),
                () -> {
                  progressWatched = false;
                  if (had && connection.pending() > 0 && connection.flushed() == before) {
                    connection.abort();
                  } else if (!closing || connection.pending() > 0) {
                    watchProgress();
                  }
                });
      }
    }

    @Override
    public void ended() {
      closing = true;
      if (current != null) {
        connection.abort(); // half-closed clients are taken for gone, as most servers do
      } else {
        connection.close();
      }
    }

    @Override
    public void drained() {
      if (current != null) {
        current.onDrained.run();
      }
    }

    @Override
    public void closed(IOException cause) {
      closing = true;
      peers -= connection == null ? 0 : 1;
      unused.remove(this);
      first.cancel();
      limit.cancel();
      progress.cancel();
      bodies.give(content.size());
      waiting.forEach(a -> bodies.give(a.request.body().length));
      waiting.clear();
      giveBack();
      Exchange lost = current;
      current = null;
      exchanges -= lost == null || lost.finished ? 0 : 1;
      if (lost != null && !lost.finished) {
        lost.onGone.run();
      }
    }
  }
}
