package lemondock.net.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import lemondock.net.Connection;
import lemondock.net.Loop;

/**
 * One client's connection to an {@link HttpServer}: has its requests served one after another and
 * enforces the time limits. Loop thread only, but for {@link #decode}.
 */
final class ServerConnection implements Connection.Handler {
  private static final ByteBuffer CONTINUE_RESPONSE =
      ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
          .asReadOnlyBuffer();

  private final HttpServer server;
  private final Loop loop;
  private final HttpServerOptions options;

  /** I/O thread only. */
  private final RequestAssembler assembler;

  // Loop thread only, each from here on:
  private final RequestQueue queue;

  /** The socket's connection; null before it is up. */
  private Connection transport;

  /** The exchange in progress; null between requests. Read by other threads as its writers. */
  private HttpExchange current;

  /** Nothing that comes is served any more. */
  private boolean closing;

  /** A close was asked for that happens only if no bytes are on their way here. */
  private boolean closingIfIdle;

  private boolean watchingProgress;

  /** Bytes of the body of the exchange in progress. */
  private long currentBodyBytes;

  private Loop.Timer requestTimer = () -> {};
  private Loop.Timer firstRequestTimer = () -> {};
  private Loop.Timer progressTimer = () -> {};

  ServerConnection(HttpServer server) {
    this.server = server;
    this.loop = server.loop();
    this.options = server.options();
    this.assembler = new RequestAssembler(options, server.service(), server.bodyBudget());
    this.queue = new RequestQueue(server, new PreparationListener());
  }

  Connection transport() {
    return transport;
  }

  boolean isCurrent(HttpExchange exchange) {
    return current == exchange;
  }

  boolean isClosingOrDraining() {
    return closing || server.isDraining();
  }

  @Override
  public void connected(Connection connection) {
    transport = connection;
    server.connectionOpened();
    if (options.firstRequestTimeoutMicros() > 0) {
      server.markUnused(this);
      firstRequestTimer =
          loop.schedule(options.firstRequestTimeoutMicros(), () -> refuse(408, "no request came"));
    } else {
      awaitRequest();
    }
    connection.read();
  }

  @Override
  public boolean wantsArrivalTimes() {
    return true;
  }

  @Override
  public void batchArrived(long arrivedMicros) {
    assembler.batchArrived(arrivedMicros);
  }

  @Override
  public void decode(ByteBuffer bytes, List<Object> events) {
    assembler.decode(bytes, events);
  }

  @Override
  public void received(List<Object> events) {
    final boolean wasClosingIfIdle = closingIfIdle;
    closingIfIdle = false;
    for (Object event : events) {
      if (closing) {
        return;
      }
      if (event instanceof HttpEvent.Malformed malformed) {
        refuse(malformed.status(), malformed.reason());
        return;
      }
      handle(event);
    }
    serveNext();
    readMore();
    if (wasClosingIfIdle && events.isEmpty() && current == null && queue.isEmpty()) {
      awaitRequest(); // what came was less than a beginning
    }
  }

  private void handle(Object event) {
    if (event instanceof QueuedRequest request) {
      stopWaiting();
      queue.add(request);
    } else if (event instanceof HttpEvent.Began) {
      requestTimer.cancel();
      requestTimer =
          loop.schedule(
              options.requestTimeoutMicros(), () -> refuse(408, "the request took too long"));
      server.markUsed(this);
    } else if (event instanceof RequestAssembler.ExpectContinue) {
      transport.write(CONTINUE_RESPONSE.duplicate());
    }
  }

  private final class PreparationListener implements RequestQueue.Listener {
    @Override
    public void requestPrepared() {
      serveNext();
      readMore();
    }

    @Override
    public void preparationFailed() {
      transport.abort();
    }
  }

  /** Reads on if there is room for it: only a read tells that the client has gone. */
  private void readMore() {
    if (!closing && queue.takesMore()) {
      transport.read();
    }
  }

  private void serveNext() {
    while (current == null && !closing) {
      Optional<QueuedRequest> next = queue.pollReady();
      if (next.isEmpty()) {
        return;
      }
      serve(next.get());
    }
  }

  private void serve(QueuedRequest next) {
    HttpRequest request = next.request();
    if (server.service().needsBodyToServe()) {
      currentBodyBytes = next.bodyBytes();
    } else {
      server.bodyBudget().release(next.bodyBytes());
      request = request.withoutBody();
    }
    server.exchangeStarted();
    // the last response says close, and the client sends what was discarded again elsewhere
    boolean keepAlive = next.keepAlive() && !queue.endedByDiscard();
    current = new HttpExchange(this, request, next.prepared(), keepAlive, next.acceptsChunks());
    if (next.rejection().isPresent()) {
      respondRejected(next.rejection().get());
    } else {
      server.service().serve(current);
    }
  }

  /** The cheapest response there is; the connection stays, as a new one would cost more. */
  private void respondRejected(HttpRejection rejection) {
    rejection.onSent().run();
    current.respond(
        503,
        Headers.of(
            "content-type",
            rejection.contentType(),
            "retry-after",
            Long.toString(rejection.retryAfterSeconds())),
        rejection.body());
  }

  /** The exchange's response is complete; goes on to the next request or closes. */
  void exchangeFinished(HttpExchange exchange) {
    current = null;
    server.exchangeEnded();
    releaseCurrentBody();
    if (exchange.closesConnection()) {
      closing = true;
      transport.close();
      return;
    }
    watchProgress();
    if (queue.isEmpty()) {
      awaitRequest();
    } else {
      loop.execute(
          () -> {
            serveNext();
            readMore();
          });
    }
  }

  /** Closes behind what was sent; aborts if the client has not taken it in time. */
  void closeAfterTruncation(long timeoutMicros) {
    server.exchangeEnded();
    closing = true;
    transport.close();
    loop.schedule(timeoutMicros, transport::abort);
  }

  private void releaseCurrentBody() {
    server.bodyBudget().release(currentBodyBytes);
    currentBodyBytes = 0;
  }

  private void awaitRequest() {
    requestTimer.cancel();
    if (server.isDraining()) {
      closeUnused(true);
      return;
    }
    server.markUnused(this);
    requestTimer = loop.schedule(options.idleTimeoutMicros(), () -> closeUnused(true));
  }

  /**
   * Closes it between two requests, unless bytes of one were read and are on their way here: then
   * it is served as if no close had been asked for. Without lingering where its place is wanted: a
   * connection that waits for its client's close holds one.
   */
  void closeUnused(boolean linger) {
    closingIfIdle = true;
    stopWaiting();
    transport.closeIfIdle(linger);
  }

  private void stopWaiting() {
    server.markUsed(this);
    firstRequestTimer.cancel();
    requestTimer.cancel();
  }

  /**
   * The stream of requests makes no sense any more or took too long: says so if no response is in
   * progress, and closes.
   */
  private void refuse(int status, String reason) {
    closing = true;
    stopWaiting();
    if (current != null) {
      transport.abort();
      return;
    }
    transport.write(
        HttpEncoder.response(
            status,
            Headers.of("content-type", "text/plain; charset=utf-8", "connection", "close"),
            (reason + "\n").getBytes(StandardCharsets.UTF_8)));
    transport.close();
  }

  /** Aborts if the client takes nothing for too long while something is queued. */
  void watchProgress() {
    if (watchingProgress || transport.pendingBytes() <= 0 && current == null) {
      return;
    }
    watchingProgress = true;
    long flushedBefore = transport.flushedBytes();
    boolean hadPending = transport.pendingBytes() > 0;
    progressTimer =
        loop.schedule(options.stallTimeoutMicros(), () -> checkProgress(flushedBefore, hadPending));
  }

  private void checkProgress(long flushedBefore, boolean hadPending) {
    watchingProgress = false;
    boolean pending = transport.pendingBytes() > 0;
    if (hadPending && pending && transport.flushedBytes() == flushedBefore) {
      transport.abort();
    } else if (!closing || pending) {
      watchProgress();
    }
  }

  @Override
  public void inputEnded() {
    closing = true;
    if (current != null) {
      transport.abort(); // half-closed clients are taken for gone, as most servers do
    } else {
      transport.close();
    }
  }

  @Override
  public void writeQueueDrained() {
    if (current != null) {
      current.writeQueueDrained();
    }
  }

  @Override
  public void closed(IOException cause) {
    closing = true;
    if (transport != null) {
      server.connectionClosed();
    }
    stopWaiting();
    progressTimer.cancel();
    assembler.releaseBody();
    queue.clear();
    releaseCurrentBody();
    HttpExchange lost = current;
    current = null;
    if (lost != null && !lost.isEnded()) {
      server.exchangeEnded();
      lost.connectionLost();
    }
  }
}
