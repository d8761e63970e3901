package lemondock.net.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.LocalResourcesExhaustedException;
import lemondock.net.Loop;

/**
 * One connection of an {@link HttpClient}: carries one call at a time and rests in the pool between
 * them. Loop thread only, but for {@link #decode} and {@link #continueReading}.
 */
final class ClientConnection implements Connection.Handler {
  private final Loop loop;
  private final HttpClientOptions options;
  private final ConnectionPool pool;
  private final ConnectionPool.AddressPool addressPool;

  /** I/O thread only. */
  private final ResponseAssembler assembler;

  /** The call that it carries or comes up for; set on the loop, read on any thread. */
  private volatile HttpCall call;

  /** Aborted by this side; set on the loop, read on any thread. */
  private volatile boolean dropped;

  /**
   * Where the request begins in what the connection has carried; set on the loop, read on any
   * thread.
   */
  private volatile long requestStartOffset;

  // Loop thread only, each from here on:
  /** The socket's connection; null before it is up. */
  private Connection transport;

  /** What to send once the connection is up. */
  private Supplier<Optional<ByteBuffer>> firstRequest;

  /** Where the request ends in what the connection has carried. */
  private long requestEndOffset;

  private boolean keepAlive;

  /** Null unless this side aborted for a fault of the server that the call is to be told. */
  private String dropReason;

  private long idleSinceMicros;
  private Loop.Timer idleTimer = () -> {};

  ClientConnection(
      Loop loop,
      HttpClientOptions options,
      ConnectionPool pool,
      ConnectionPool.AddressPool addressPool) {
    this.loop = loop;
    this.options = options;
    this.pool = pool;
    this.addressPool = addressPool;
    this.assembler = new ResponseAssembler(options);
  }

  ConnectionPool.AddressPool addressPool() {
    return addressPool;
  }

  InetSocketAddress address() {
    return addressPool.address();
  }

  int shard() {
    return transport.shard();
  }

  boolean hasCall() {
    return call != null;
  }

  long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Has the call sent once the connection is up. */
  void assign(HttpCall first, Supplier<Optional<ByteBuffer>> request) {
    call = first;
    firstRequest = request;
    first.setConnection(this);
  }

  /** Sends a call's request; the connection is up and carries no other. */
  void begin(HttpCall next, Supplier<Optional<ByteBuffer>> request) {
    idleTimer.cancel();
    // before the call: the I/O thread looks at both
    requestStartOffset = transport.flushedBytes() + transport.pendingBytes();
    call = next;
    next.setConnection(this);
    assembler.setReceiver(next.receiver());
    Optional<ByteBuffer> bytes = request.get();
    if (bytes.isEmpty()) {
      withdraw(next);
      return;
    }
    requestEndOffset = requestStartOffset + bytes.get().remaining();
    transport.write(bytes.get());
    transport.read();
  }

  private void withdraw(HttpCall withdrawn) {
    call = null;
    withdrawn.setConnection(null);
    assembler.setReceiver(null);
    transport.read();
    becomeIdle();
    loop.execute(
        () ->
            withdrawn.fail(
                RequestFailure.NOT_SENT, address() + ": withdrawn before it was written"));
  }

  /** The call was cancelled: aborts the connection, now or once it is up. */
  void cancelCall() {
    dropped = true;
    call = null;
    if (transport != null) {
      transport.abort();
    }
  }

  /** The call takes its response again. */
  void resumeReading() {
    if (transport != null) {
      transport.read();
    }
  }

  @Override
  public void connected(Connection connection) {
    transport = connection;
    if (dropped) {
      connection.abort();
    } else {
      begin(call, firstRequest);
      firstRequest = null;
    }
  }

  @Override
  public void decode(ByteBuffer bytes, List<Object> events) {
    if (!assembler.isInResponse()
        && (call == null || transport.offeredBytes() <= requestStartOffset)) {
      events.add(ResponseAssembler.Surplus.BYTES);
    }
    assembler.decode(bytes, events);
  }

  @Override
  public boolean continueReading() {
    HttpCall current = call;
    return current != null && !current.isPaused() && !dropped;
  }

  @Override
  public void received(List<Object> events) {
    for (Object event : events) {
      if (dropped) {
        return;
      }
      if (call == null) {
        evict(); // bytes that no request asked for
        return;
      }
      handle(event);
    }
    if (!dropped && (call == null || !call.isPaused())) {
      transport.read();
    }
  }

  private void handle(Object event) {
    HttpCall current = call;
    if (event instanceof HttpEvent.ResponseHead head) {
      keepAlive = head.keepAlive();
      current.receiver().onHead(head);
    } else if (event instanceof ResponseAssembler.Body body) {
      current.receiver().onBody(body.bytes());
    } else if (event instanceof HttpEvent.End) {
      complete(current);
    } else if (event == ResponseAssembler.Surplus.BYTES) {
      dropped = true; // the call stays: it fails as one that was never sent
      dropReason = "bytes came before the request was written";
      transport.abort();
    } else if (event instanceof HttpEvent.Malformed malformed) {
      call = null;
      dropped = true;
      transport.abort();
      current.fail(RequestFailure.MALFORMED, address() + ": " + malformed.reason());
    } else {
      current.receiver().onEvent(event);
    }
  }

  private void complete(HttpCall completed) {
    call = null;
    assembler.setReceiver(null);
    completed.markEnded();
    if (!keepAlive) {
      transport.close();
    } else if (options.reuseDelayMicros() > 0) {
      idleTimer = loop.schedule(options.reuseDelayMicros(), this::becomeIdle);
    } else {
      becomeIdle();
    }
    completed.receiver().onComplete();
  }

  private void becomeIdle() {
    idleSinceMicros = loop.now();
    addressPool.addIdle(this);
    idleTimer =
        loop.schedule(
            options.idleTimeoutMicros(),
            () -> {
              addressPool.removeIdle(this);
              transport.close();
            });
  }

  /**
   * Leaves the pool at once and aborts: requests sent on it before its close is heard of would
   * count as sent.
   */
  void evict() {
    dropped = true;
    leavePool();
    transport.abort();
  }

  private void leavePool() {
    idleTimer.cancel();
    addressPool.removeIdle(this);
  }

  @Override
  public void inputEnded() {
    for (Object event : assembler.endOfInput()) {
      if (dropped || call == null) {
        break;
      }
      handle(event);
    }
    leavePool();
    transport.abort();
  }

  @Override
  public void writeQueueDrained() {}

  @Override
  public void closed(IOException cause) {
    idleTimer.cancel();
    pool.remove(this);
    if (call != null) {
      HttpCall lost = call;
      call = null;
      lost.fail(failureOf(cause), address() + ": " + reasonOf(cause));
    }
  }

  private RequestFailure failureOf(IOException cause) {
    if (transport != null && transport.flushedBytes() >= requestEndOffset) {
      return RequestFailure.CONNECTION_LOST;
    }
    return cause instanceof LocalResourcesExhaustedException
        ? RequestFailure.LOCAL_LIMIT_REACHED
        : RequestFailure.NOT_SENT;
  }

  private String reasonOf(IOException cause) {
    if (dropReason != null) {
      return dropReason;
    }
    return cause == null ? "closed by its peer" : cause.getMessage();
  }
}
