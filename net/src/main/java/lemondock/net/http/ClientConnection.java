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
import lemondock.net.SendLimitExceededException;

/**
 * One connection of an {@link HttpClient}: carries one call at a time and is idle in the pool
 * between calls. Loop thread only, except {@link #decode} and {@link #continueReading}.
 */
final class ClientConnection implements Connection.Handler {
  private final Loop loop;
  private final HttpClientOptions options;
  private final ConnectionPool pool;
  private final ConnectionPool.AddressPool addressPool;

  /** I/O thread only. */
  private final ResponseAssembler assembler;

  /**
   * The call that this connection carries or is being opened for; null if there is none. Set on the
   * loop, read on any thread.
   */
  private volatile HttpCall call;

  /**
   * Whether this side has aborted the connection or will abort it once it is established; set on
   * the loop, read on any thread.
   */
  private volatile boolean aborted;

  /**
   * Offset of the first byte of the current request among all bytes written to the connection; set
   * on the loop, read on any thread.
   */
  private volatile long requestStartOffset;

  // All fields below: loop thread only.
  /** The underlying connection; null until it is established. */
  private Connection transport;

  /** Supplies the request to send once the connection is established. */
  private Supplier<Optional<OutgoingRequest>> firstRequest;

  /** Offset behind the last byte of the current request among all bytes written. */
  private long requestEndOffset;

  private boolean keepAlive;

  /**
   * Reason that is reported to the call if this side aborts because the server misbehaved; else
   * null.
   */
  private String abortReason;

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

  /** Assigns the call whose request is sent once the connection is established. */
  void assign(HttpCall first, Supplier<Optional<OutgoingRequest>> request) {
    call = first;
    firstRequest = request;
    first.setConnection(this);
  }

  /** Sends the request of a call; the connection must be established and without a call. */
  void begin(HttpCall next, Supplier<Optional<OutgoingRequest>> request) {
    idleTimer.cancel();
    // set before the call, as the I/O thread checks the call first and then the offset
    requestStartOffset = transport.flushedBytes() + transport.pendingBytes();
    call = next;
    next.setConnection(this);
    assembler.setReceiver(next.receiver());
    Optional<OutgoingRequest> outgoing = request.get();
    if (outgoing.isEmpty()) {
      withdraw(next);
      return;
    }
    OutgoingRequest message = outgoing.get();
    requestEndOffset = requestStartOffset + message.head().remaining() + message.body().remaining();
    message.writeTo(transport);
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

  /** Cancels the current call: aborts the connection, now or once it is established. */
  void cancelCall() {
    aborted = true;
    call = null;
    if (transport != null) {
      transport.abort();
    }
  }

  /** Resumes reading after the call was paused. */
  void resumeReading() {
    if (transport != null) {
      transport.read();
    }
  }

  @Override
  public void connected(Connection connection) {
    transport = connection;
    if (aborted) {
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
    return current != null && !current.isPaused() && !aborted;
  }

  @Override
  public void received(List<Object> events) {
    HttpCall current = call;
    if (current == null) {
      evict(); // bytes received without a request
      return;
    }
    int last = events.size() - 1;
    for (int i = 0; i <= last && call == current && !aborted; i++) {
      handle(current, events.get(i), i == last);
    }
    if (call == current && !aborted && !current.isPaused()) {
      transport.read();
    }
  }

  /**
   * Handles an event of the current call's response.
   *
   * @param reusable whether the connection may be reused if the response ends with this event
   */
  private void handle(HttpCall current, Object event, boolean reusable) {
    if (event instanceof HttpEvent.ResponseHead head) {
      keepAlive = head.keepAlive();
      current.receiver().onHead(head);
    } else if (event instanceof ResponseAssembler.Body body) {
      current.receiver().onBody(body.bytes());
    } else if (event instanceof HttpEvent.End) {
      complete(current, reusable);
    } else if (event == ResponseAssembler.Surplus.BYTES) {
      aborted = true; // the call is kept, so that closed() fails it as never sent
      abortReason = "bytes came before the request was written";
      transport.abort();
    } else if (event instanceof HttpEvent.Malformed malformed) {
      call = null;
      aborted = true;
      transport.abort();
      current.fail(RequestFailure.MALFORMED, address() + ": " + malformed.reason());
    } else {
      current.receiver().onEvent(event);
    }
  }

  private void complete(HttpCall completed, boolean reusable) {
    call = null;
    assembler.setReceiver(null);
    completed.markEnded();
    if (!reusable || transport.pendingBytes() > 0) {
      evict(); // surplus bytes follow, or the server has answered an incomplete request
    } else if (!keepAlive) {
      transport.close();
    } else if (options.reuseDelayMicros() > 0) {
      idleTimer = loop.schedule(options.reuseDelayMicros(), this::endReuseDelay);
    } else {
      transport.read();
      becomeIdle();
    }
    completed.receiver().onComplete();
  }

  /**
   * Makes the connection available if its socket is empty now. The timer alone does not prove that
   * nothing has arrived during the delay: if the process was suspended or busy, surplus bytes may
   * wait in the socket, and they would be taken for the response to the next request.
   */
  private void endReuseDelay() {
    transport.readAndReportNoInput(this::becomeIdle);
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
   * Removes the connection from the pool immediately and aborts it. Otherwise a request written to
   * it before the close is reported would count as sent.
   */
  void evict() {
    aborted = true;
    leavePool();
    transport.abort();
  }

  private void leavePool() {
    idleTimer.cancel();
    addressPool.removeIdle(this);
  }

  @Override
  public void inputEnded() {
    HttpCall current = call;
    for (Object event : assembler.endOfInput()) {
      if (aborted || current == null || call != current) {
        break;
      }
      handle(current, event, false);
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
    if (cause instanceof SendLimitExceededException) {
      return RequestFailure.SEND_LIMIT_EXCEEDED;
    }
    return cause instanceof LocalResourcesExhaustedException
        ? RequestFailure.LOCAL_LIMIT_REACHED
        : RequestFailure.NOT_SENT;
  }

  private String reasonOf(IOException cause) {
    if (abortReason != null) {
      return abortReason;
    }
    return cause == null ? "closed by its peer" : cause.getMessage();
  }
}
