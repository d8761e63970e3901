package lemondock.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Assembles the bytes of a connection into complete requests, within the budget for bodies that all
 * connections share; asks the service early whether to reject a heavy request. Runs on I/O threads,
 * one at a time, except {@link #requestTaken} and {@link #close}, which run on the loop, also while
 * bytes are decoded.
 */
final class RequestAssembler {
  /**
   * Maximum bytes of a small body. A part of the budget is reserved for small bodies, so that large
   * ones together cannot use it up.
   */
  private static final int SMALL_BODY_BYTES = 16 * 1024;

  /** Fraction of the budget that is available to large bodies. */
  private static final double LARGE_BODIES_FRACTION = 0.75;

  /** The client waits for the interim response {@code 100 Continue}. */
  record ExpectContinue() {}

  private final HttpServerOptions options;
  private final HttpService service;
  private final ByteBudget bodyBudget;
  private final HttpDecoder decoder;

  // All fields below: I/O thread only.
  private final List<HttpEvent> decoded = new ArrayList<>();
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  /** Receives events while bytes are decoded; null otherwise. */
  private List<Object> output;

  private HttpEvent.RequestHead head;

  /** Arrival time of the current batch, microseconds on the loop's clock. */
  private long arrivedMicros;

  /** The early rejection of the current request. */
  private Optional<HttpRejection> rejection = Optional.empty();

  private boolean rejectionRequested;
  private boolean budgetExceeded;

  // Guarded by this:
  /** Reserved bytes of complete requests that the loop has not taken. */
  private long untakenBytes;

  private boolean closed;

  RequestAssembler(HttpServerOptions options, HttpService service, ByteBudget bodyBudget) {
    this.options = options;
    this.service = service;
    this.bodyBudget = bodyBudget;
    this.decoder = HttpDecoder.forRequests(options.limits()).withContentSink(this::appendBody);
  }

  /** Sets the time, on the loop's clock, by which the bytes decoded next had arrived. */
  void batchArrived(long micros) {
    arrivedMicros = micros;
  }

  /**
   * Consumes all bytes and adds the events that they complete: {@link QueuedRequest}, {@link
   * ExpectContinue}, {@link HttpEvent.Began} and {@link HttpEvent.Malformed}.
   */
  synchronized void decode(ByteBuffer bytes, List<Object> events) {
    if (closed) {
      return;
    }
    output = events;
    decoder.decode(bytes, decoded);
    forwardDecoded(events);
    output = null; // so that an idle connection does not retain events
  }

  /** The loop has taken a complete request, whose reservation it releases from now on. */
  synchronized void requestTaken(QueuedRequest request) {
    untakenBytes -= request.bodyBytes();
  }

  /**
   * Called when the connection is closed: releases what is reserved for the incomplete request and
   * for requests that were not taken, and ignores all further bytes.
   */
  synchronized void close() {
    closed = true;
    dropBody();
    bodyBudget.release(untakenBytes);
    untakenBytes = 0;
  }

  /** Drops the body of the incomplete request and releases its reservation. */
  private void dropBody() {
    bodyBudget.release(body.size());
    body = new ByteArrayOutputStream(0);
  }

  /** Copies a piece of a body from the decoder's buffer. */
  private void appendBody(ByteBuffer piece) {
    forwardDecoded(output); // the head may be in the same batch
    if (rejection.isPresent() || budgetExceeded) {
      return; // the content is read and discarded
    }
    int size = piece.remaining();
    if (!reserve(size)) {
      budgetExceeded = true;
      dropBody();
      output.add(new HttpEvent.Malformed(503, "no room for the request's content"));
      return;
    }
    body.write(piece.array(), piece.arrayOffset() + piece.position(), size);
    if (!rejectionRequested
        && body.size() >= Math.max(options.heavyBodyBytes(), service.earlyRejectionBytes())) {
      requestRejection();
    }
  }

  private boolean reserve(int size) {
    return body.size() + size <= SMALL_BODY_BYTES
        ? bodyBudget.tryReserve(size)
        : bodyBudget.tryReserveWithin(LARGE_BODIES_FRACTION, size);
  }

  private void requestRejection() {
    rejectionRequested = true;
    rejection = service.rejectEarly(requestSoFar());
    if (rejection.isPresent()) {
      dropBody();
    }
  }

  private void forwardDecoded(List<Object> events) {
    // once the budget is exceeded, the body is dropped and its request is not served
    for (int i = 0; i < decoded.size() && !budgetExceeded; i++) {
      HttpEvent event = decoded.get(i);
      if (event instanceof HttpEvent.RequestHead requestHead) {
        head = requestHead;
        if (requestHead.headers().containsToken("expect", "100-continue")) {
          events.add(new ExpectContinue());
        }
      } else if (event instanceof HttpEvent.End) {
        events.add(completeRequest());
      } else {
        events.add(event);
      }
    }
    decoded.clear();
  }

  private QueuedRequest completeRequest() {
    boolean heavy = body.size() >= options.heavyBodyBytes();
    if (heavy && !rejectionRequested) {
      requestRejection();
    }
    HttpRequest request = requestSoFar();
    untakenBytes += request.body().length;
    // not reset(), which would keep the memory for the life of the connection
    body = new ByteArrayOutputStream(0);
    QueuedRequest queued =
        new QueuedRequest(request, head.keepAlive(), head.minorVersion() > 0, heavy);
    if (rejection.isPresent()) {
      queued.reject(rejection.get());
    } else if (!heavy) {
      queued.setPrepared(service.prepare(request));
    }
    rejection = Optional.empty();
    rejectionRequested = false;
    return queued;
  }

  private HttpRequest requestSoFar() {
    return new HttpRequest(
        head.method(), head.target(), head.headers(), body.toByteArray(), arrivedMicros);
  }
}
