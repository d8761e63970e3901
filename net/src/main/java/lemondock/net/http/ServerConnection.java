package lemondock.net.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import lemondock.net.Connection;
import lemondock.net.Loop;

/**
 * Connection of one client to an {@link HttpServer}: passes its requests to the service one after
 * another and enforces the timeouts. Loop thread only, except {@link #decode} and {@link
 * #batchArrived}.
 */
final class ServerConnection implements Connection.Handler {
  /** Requests discarded by one connection that get a response of their own. */
  private static final int MAX_REJECTED_REQUESTS = 256;

  /** Time from the error response to an evicted client until its connection is aborted. */
  private static final long EVICTION_LINGER_MICROS = 5_000;

  private final HttpServer server;
  private final Loop loop;
  private final HttpServerOptions options;

  /** I/O thread only. */
  private final RequestAssembler assembler;

  // All fields below: loop thread only, except where stated.
  private final RequestQueue queue;

  private final RequestTimeouts timeouts;

  private final WriteProgressWatch progressWatch = new WriteProgressWatch(this);

  /** The underlying connection; null until it is established. */
  private Connection transport;

  /**
   * The exchange in progress; null between requests. Also read by threads that write its response.
   */
  private HttpExchange current;

  /** Whether the connection is closing: no further request is served. */
  private boolean closing;

  /** Whether all requests are rejected because too few connections are left. */
  private boolean rejectsRequests;

  /** Whether a close was requested that only happens if no received bytes are pending. */
  private boolean closeIfIdleRequested;

  /** Why this connection ends; null while it does not. */
  private CloseReason closeReason;

  private String closeDetail = "";

  /**
   * The error that ends this connection once all complete requests have their responses; empty if
   * there is none.
   */
  private Optional<InputError> inputError = Optional.empty();

  /** Bytes that are reserved in the budget for the request of the exchange in progress. */
  private long currentRequestBytes;

  /** Aborts a connection that is closing; would keep it in memory if it were not cancelled. */
  private Loop.Timer abortTimer = () -> {};

  ServerConnection(HttpServer server) {
    this.server = server;
    this.loop = server.loop();
    this.options = server.options();
    this.assembler = new RequestAssembler(options, server.service(), server.bodyBudget());
    this.queue = new RequestQueue(server, new PreparationListener());
    this.timeouts = new RequestTimeouts(loop, options, new TimeoutListener());
  }

  Connection transport() {
    return transport;
  }

  boolean isCurrent(HttpExchange exchange) {
    return current == exchange;
  }

  /** Whether a response is in progress, or one may follow, so that more may be written. */
  boolean mayWriteMore() {
    return !closing;
  }

  boolean hasExchange() {
    return current != null;
  }

  Loop loop() {
    return loop;
  }

  long stallTimeoutMicros() {
    return options.stallTimeoutMicros();
  }

  boolean isClosingOrDraining() {
    return closing || server.isDraining();
  }

  @Override
  public void connected(Connection connection) {
    transport = connection;
    rejectsRequests = !server.connectionOpened();
    if (options.firstRequestTimeoutMicros() > 0) {
      server.setClaim(this, EvictionOrder.Claim.UNUSED);
      timeouts.awaitFirstRequest();
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
    final boolean closeIfIdleWasRequested = closeIfIdleRequested;
    closeIfIdleRequested = false;
    if (closeIfIdleWasRequested) {
      closeReason = null;
      server.evictionCancelled(this);
    }
    for (Object event : events) {
      if (closing) {
        return;
      }
      handle(event);
    }
    serveNext();
    readMore();
    if (closeIfIdleWasRequested && events.isEmpty() && current == null && queue.isEmpty()) {
      awaitRequest(); // the bytes did not begin a request
    }
  }

  private void handle(Object event) {
    if (event instanceof QueuedRequest request) {
      assembler.requestTaken(request);
      timeouts.requestComplete();
      inputError = Optional.empty(); // it was late, but it has arrived before the end
      server.keep(this);
      queue.add(request);
    } else if (event instanceof HttpEvent.Began) {
      timeouts.requestBegan();
      if (isNothingOwed()) {
        server.setClaim(this, EvictionOrder.Claim.INCOMPLETE_REQUEST);
      }
    } else if (event instanceof HttpEvent.Malformed malformed) {
      endAfterResponses(
          new InputError(CloseReason.MALFORMED_REQUEST, malformed.status(), malformed.reason()));
    } else if (event instanceof RequestAssembler.RejectedForLackOfMemory) {
      timeouts.requestRejected();
    } else if (event instanceof RequestAssembler.ExpectContinue) {
      transport.write(StandardResponses.proceed());
    }
  }

  /** Whether the client is owed no response to a complete request. */
  private boolean isNothingOwed() {
    return current == null && queue.isEmpty();
  }

  private final class TimeoutListener implements RequestTimeouts.Listener {
    @Override
    public void noRequestCame(InputError error) {
      close(error);
    }

    @Override
    public void requestLate(InputError error) {
      endAfterResponses(error);
    }

    @Override
    public void unusedTooLong() {
      closeUnused(CloseReason.IDLE_TIMEOUT, true);
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
      abort(CloseReason.PREPARATION_FAILED);
    }
  }

  /** Ends the connection at once; bytes that are still queued are dropped. */
  void abort(CloseReason reason) {
    closingBecause(reason, "");
    transport.abort();
  }

  /** Records why this connection ends, unless it ends already for another reason. */
  private void closingBecause(CloseReason reason, String detail) {
    if (closeReason == null) {
      closeReason = reason;
      closeDetail = detail;
    }
  }

  /**
   * Continues reading if there is room, because only a read detects that the client disconnected.
   */
  private void readMore() {
    if (!closing && queue.mayReadMore()) {
      transport.read();
    }
  }

  private void serveNext() {
    while (current == null && !closing) {
      Optional<QueuedRequest> next = queue.pollReady();
      if (next.isEmpty()) {
        endIfNothingOwed();
        return;
      }
      serve(next.get());
    }
  }

  /** Ends the connection because of its input, once all complete requests have a response. */
  private void endAfterResponses(InputError error) {
    inputError = Optional.of(error);
    endIfNothingOwed();
  }

  private void endIfNothingOwed() {
    if (closing || !isNothingOwed()) {
      return;
    }
    if (queue.discardedRequests() > 0) {
      rejectDiscardedRequests();
    } else {
      inputError.ifPresent(this::close);
    }
  }

  private void close(InputError error) {
    closeWithError(error.closeReason(), error.status(), error.text());
  }

  /** Responds to the requests that were read and discarded; the last response says close. */
  private void rejectDiscardedRequests() {
    int responses = Math.min(queue.discardedRequests(), MAX_REJECTED_REQUESTS);
    for (int i = 1; i < responses; i++) {
      transport.write(StandardResponses.excessRequest());
    }
    closeWithError(CloseReason.EXCESS_REQUESTS, 503, StandardResponses.EXCESS_REQUEST_TEXT);
  }

  private void serve(QueuedRequest next) {
    HttpRequest request = next.request();
    currentRequestBytes = next.reservedBytes();
    if (!server.service().needsBodyToServe()) {
      currentRequestBytes -= next.bodyBytes();
      server.bodyBudget().release(next.bodyBytes());
      request = request.withoutBody();
    }
    server.exchangeStarted();
    current =
        new HttpExchange(this, request, next.prepared(), next.keepAlive(), next.acceptsChunks());
    if (rejectsRequests) {
      respondRejectedAtLimit();
    } else if (next.rejection().isPresent()) {
      respondRejected(next.rejection().get());
    } else {
      server.service().serve(current);
    }
  }

  private void respondRejectedAtLimit() {
    closingBecause(CloseReason.REJECTED_AT_LIMIT, "");
    current.respond(
        503,
        Headers.of("content-type", "text/plain; charset=utf-8", "connection", "close"),
        "too many connections\n".getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends the rejection; keeps the connection, because a new one would cost more. */
  private void respondRejected(HttpRejection rejection) {
    rejection.onSent().run();
    Headers headers = Headers.of("content-type", rejection.contentType());
    rejection.retryAfter().ifPresent(value -> headers.add("retry-after", value));
    current.respond(503, headers, rejection.body());
  }

  /** Called when the response of the exchange is complete; serves the next request or closes. */
  void exchangeFinished(HttpExchange exchange) {
    current = null;
    server.exchangeEnded();
    releaseCurrentRequest();
    if (exchange.closesConnection()) {
      closing = true;
      closingBecause(CloseReason.RESPONSE_COMPLETE, "");
      transport.close();
      return;
    }
    watchProgress();
    if (queue.isEmpty() && queue.discardedRequests() == 0 && inputError.isEmpty()) {
      awaitRequest();
    } else {
      loop.execute(
          () -> {
            serveNext();
            readMore();
          });
    }
  }

  /** Closes after the bytes sent so far; aborts if the client does not read them in time. */
  void closeAfterTruncation(long timeoutMicros) {
    server.exchangeEnded();
    closing = true;
    closingBecause(CloseReason.RESPONSE_TRUNCATED, "");
    transport.close();
    abortTimer = loop.schedule(timeoutMicros, transport::abort);
  }

  private void releaseCurrentRequest() {
    server.bodyBudget().release(currentRequestBytes);
    currentRequestBytes = 0;
  }

  private void awaitRequest() {
    if (timeouts.isRequestIncomplete()) {
      server.setClaim(this, EvictionOrder.Claim.INCOMPLETE_REQUEST);
      return; // its limit is running
    }
    timeouts.stop();
    if (server.isDraining()) {
      closeUnused(CloseReason.DRAINING, true);
      return;
    }
    server.setClaim(this, EvictionOrder.Claim.UNUSED);
    timeouts.awaitNextRequest();
  }

  /**
   * Closes the connection between two requests, unless bytes of a request were read but not handled
   * yet: then that request is served as if no close had been requested.
   *
   * @param linger whether to wait for the client to close as well; false if the connection has to
   *     make room for a new one, because a lingering connection still counts
   */
  void closeUnused(CloseReason reason, boolean linger) {
    closeIfIdleRequested = true;
    closeReason = reason;
    stopWaiting();
    transport.closeIfIdle(linger);
  }

  /**
   * Ends a connection whose request is incomplete, to make room for a new connection; the client
   * has only a moment to receive the error response.
   */
  void evictIncompleteRequest() {
    closeWithError(CloseReason.EVICTED, 503, "no connection is left for an incomplete request");
    server.keep(this);
    abortTimer = loop.schedule(EVICTION_LINGER_MICROS, transport::abort);
  }

  private void stopWaiting() {
    server.keep(this);
    timeouts.stop();
  }

  /** Sends an error response and closes the connection; no response may be in progress. */
  private void closeWithError(CloseReason closeReason, int status, String reason) {
    closing = true;
    closingBecause(closeReason, reason);
    stopWaiting();
    transport.write(StandardResponses.errorBeforeClose(status, reason));
    transport.close();
    server.setClaim(this, EvictionOrder.Claim.CLOSING_AFTER_ERROR);
  }

  /** Watches that the client reads what is sent, for as long as there is anything to send. */
  void watchProgress() {
    progressWatch.start();
  }

  @Override
  public void inputEnded() {
    closing = true;
    closingBecause(CloseReason.CLIENT_CLOSED, "");
    if (current != null) {
      transport.abort(); // a half-closed client counts as disconnected, as in most servers
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
      reportEnd(cause);
    }
    stopWaiting();
    abortTimer.cancel();
    if (transport != null) {
      server.connectionClosed(this);
    }
    progressWatch.stop();
    assembler.close();
    queue.clear();
    releaseCurrentRequest();
    HttpExchange lost = current;
    current = null;
    if (lost != null && !lost.isEnded()) {
      server.exchangeEnded();
      lost.connectionLost();
    }
  }

  private void reportEnd(IOException cause) {
    if (cause != null) {
      closingBecause(CloseReason.CONNECTION_FAILED, String.valueOf(cause.getMessage()));
    }
    options
        .listener()
        .connectionEnded(
            new ConnectionEnd(
                transport.remoteAddress(),
                closeReason == null ? CloseReason.EXCHANGE_ABORTED : closeReason,
                closeDetail,
                Optional.ofNullable(current).map(HttpExchange::request),
                queue.size(),
                transport.flushedBytes()));
  }
}
