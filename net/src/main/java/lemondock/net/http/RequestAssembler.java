package lemondock.net.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.net.ByteBudget;

/**
 * Assembles the bytes of a connection into complete requests, within the budget for bodies that all
 * connections share; asks the service early whether to reject a heavy request. Runs on I/O threads,
 * one at a time, except {@link #requestTaken} and {@link #close}, which run on the loop, also while
 * bytes are decoded.
 */
final class RequestAssembler {
  /**
   * Bytes of a head that are not reserved in the budget, because they are part of what a connection
   * is expected to take.
   */
  private static final int UNRESERVED_HEAD_BYTES = 2 * 1024;

  /** Memory of the fields of a head, as a multiple of their bytes. */
  private static final int HEAD_MEMORY_FACTOR = 2;

  private static final byte[] NO_BODY = new byte[0];

  /** The client waits for the interim response {@code 100 Continue}. */
  record ExpectContinue() {}

  /** The current request is rejected for lack of memory, whether or not it will be complete. */
  record RejectedForLackOfMemory() {}

  private final HttpServerOptions options;
  private final HttpService service;
  private final ByteBudget bodyBudget;
  private final HttpDecoder decoder;

  // All fields below: I/O thread only.
  private final List<HttpEvent> decoded = new ArrayList<>();
  private final BodyBuffer body;

  /** Receives events while bytes are decoded; null otherwise. */
  private List<Object> output;

  private HttpEvent.RequestHead head;

  /** Upper bound on the content of the current request. */
  private long expectedBodyBytes;

  /** Arrival time of the current batch, microseconds on the loop's clock. */
  private long arrivedMicros;

  /** The early rejection of the current request. */
  private Optional<HttpRejection> rejection = Optional.empty();

  private boolean rejectionRequested;

  /** Whether the input was given up for lack of memory. */
  private boolean inputEnded;

  // Guarded by this:
  /** Reserved bytes of the head that is not complete. */
  private long incompleteHeadBytes;

  /** Reserved bytes of the head of the request whose content is not complete. */
  private long headBytes;

  /** Reserved bytes of complete requests that the loop has not taken. */
  private long untakenBytes;

  private boolean closed;

  RequestAssembler(HttpServerOptions options, HttpService service, ByteBudget bodyBudget) {
    this.options = options;
    this.service = service;
    this.bodyBudget = bodyBudget;
    this.body = new BodyBuffer(bodyBudget);
    this.decoder = HttpDecoder.forRequests(options.limits()).withContentSink(this::appendBody);
  }

  /** Sets the time, on the loop's clock, by which the bytes decoded next had arrived. */
  void batchArrived(long micros) {
    arrivedMicros = micros;
  }

  /**
   * Consumes all bytes and adds the events that they complete: {@link QueuedRequest}, {@link
   * ExpectContinue}, {@link RejectedForLackOfMemory}, {@link HttpEvent.Began} and {@link
   * HttpEvent.Malformed}.
   */
  synchronized void decode(ByteBuffer bytes, List<Object> events) {
    if (closed) {
      return;
    }
    output = events;
    decoder.decode(bytes, decoded);
    forwardDecoded(events);
    reserveIncompleteHead(events);
    output = null; // so that an idle connection does not retain events
  }

  /** The loop has taken a complete request, whose reservation it releases from now on. */
  synchronized void requestTaken(QueuedRequest request) {
    untakenBytes -= request.reservedBytes();
  }

  /**
   * Called when the connection is closed: releases what is reserved for the incomplete request and
   * for requests that were not taken, and ignores all further bytes.
   */
  synchronized void close() {
    closed = true;
    dropIncompleteRequest();
    bodyBudget.release(untakenBytes);
    untakenBytes = 0;
  }

  /** Drops what is held of the incomplete request and releases its reservations. */
  private void dropIncompleteRequest() {
    body.drop();
    bodyBudget.release(headBytes + incompleteHeadBytes);
    headBytes = 0;
    incompleteHeadBytes = 0;
  }

  /** Rejects the current request for lack of memory; its content is read and discarded. */
  private void rejectForLackOfMemory() {
    body.drop();
    rejection = Optional.of(service.rejectForLackOfMemory(request(NO_BODY)));
    output.add(new RejectedForLackOfMemory());
  }

  /** Ends the input for lack of memory, because the end of the request cannot be found. */
  private void endInput(List<Object> events) {
    inputEnded = true;
    dropIncompleteRequest();
    events.add(new HttpEvent.Malformed(503, "no room for the request's head"));
  }

  private static long headMemory(int bytes) {
    return (long) Math.max(0, bytes - UNRESERVED_HEAD_BYTES) * HEAD_MEMORY_FACTOR;
  }

  private boolean reserveHead(long memory) {
    return memory == 0 || bodyBudget.tryReserveWithin(BodyBuffer.LARGE_REQUESTS_FRACTION, memory);
  }

  /** Adjusts the reservation of the head that is not complete to its size. */
  private void reserveIncompleteHead(List<Object> events) {
    if (inputEnded) {
      return;
    }
    long memory = headMemory(decoder.incompleteHeadBytes());
    if (memory <= incompleteHeadBytes) {
      bodyBudget.release(incompleteHeadBytes - memory);
      incompleteHeadBytes = memory;
    } else if (reserveHead(memory - incompleteHeadBytes)) {
      incompleteHeadBytes = memory;
    } else {
      endInput(events);
    }
  }

  private void beginRequest(HttpEvent.RequestHead requestHead) {
    head = requestHead;
    expectedBodyBytes =
        requestHead
            .headers()
            .firstValue("content-length")
            .map(Long::parseLong)
            .orElse(options.limits().maxBodyBytes());
    long memory = headMemory(requestHead.target().length() + requestHead.headers().bytes());
    if (reserveHead(memory)) {
      headBytes = memory;
    } else {
      rejectForLackOfMemory();
    }
    if (requestHead.headers().containsToken("expect", "100-continue")) {
      output.add(new ExpectContinue());
    }
  }

  /** Copies a piece of a body from the decoder's buffer. */
  private void appendBody(ByteBuffer piece) {
    forwardDecoded(output); // the head may be in the same batch
    if (rejection.isPresent() || inputEnded) {
      return; // the content is read and discarded
    }
    if (!body.append(piece, expectedBodyBytes)) {
      rejectForLackOfMemory();
      return;
    }
    if (!rejectionRequested
        && body.size() >= Math.max(options.heavyBodyBytes(), service.earlyRejectionBytes())) {
      requestRejection();
    }
  }

  private void requestRejection() {
    rejectionRequested = true;
    rejection = service.rejectEarly(request(body.copy()));
    if (rejection.isPresent()) {
      body.drop();
    }
  }

  private void forwardDecoded(List<Object> events) {
    for (int i = 0; i < decoded.size() && !inputEnded; i++) {
      HttpEvent event = decoded.get(i);
      if (event instanceof HttpEvent.RequestHead requestHead) {
        beginRequest(requestHead);
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
    HttpRequest request = request(body.take());
    QueuedRequest queued =
        new QueuedRequest(request, headBytes, head.keepAlive(), head.minorVersion() > 0, heavy);
    untakenBytes += queued.reservedBytes();
    headBytes = 0;
    if (rejection.isPresent()) {
      queued.reject(rejection.get());
    } else if (!heavy) {
      queued.setPrepared(service.prepare(request));
    }
    rejection = Optional.empty();
    rejectionRequested = false;
    return queued;
  }

  private HttpRequest request(byte[] content) {
    return new HttpRequest(head.method(), head.target(), head.headers(), content, arrivedMicros);
  }
}
