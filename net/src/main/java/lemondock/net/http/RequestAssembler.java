package lemondock.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Makes whole requests of a connection's bytes, within the budget that all connections share for
 * bodies; asks the service early whether a heavy one is rejected. I/O threads, one at a time;
 * {@link #releaseBody} on the loop once nothing is decoded any more.
 */
final class RequestAssembler {
  /**
   * A body of this length (bytes) is small; large ones together may not take what small ones need.
   */
  private static final int SMALL_BODY_BYTES = 16 * 1024;

  /** Part of the budget that large bodies may take. */
  private static final double LARGE_BODIES_PART = 0.75;

  /** Asks for an interim response. */
  record ExpectContinue() {}

  private final HttpServerOptions options;
  private final HttpService service;
  private final ByteBudget bodyBudget;
  private final HttpDecoder decoder;

  // I/O thread only, each from here on:
  private final List<HttpEvent> decoded = new ArrayList<>();
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  /** Where events go while bytes are decoded, else null. */
  private List<Object> output;

  private HttpEvent.RequestHead head;

  /** When the batch at hand had arrived. */
  private long arrivedMicros;

  /** The early rejection of the request at hand. */
  private Optional<HttpRejection> rejection = Optional.empty();

  private boolean askedForRejection;
  private boolean budgetExceeded;

  RequestAssembler(HttpServerOptions options, HttpService service, ByteBudget bodyBudget) {
    this.options = options;
    this.service = service;
    this.bodyBudget = bodyBudget;
    this.decoder = HttpDecoder.forRequests(options.limits()).withContentSink(this::appendBody);
  }

  /** The bytes that are decoded next had arrived by that moment of the loop's clock. */
  void batchArrived(long micros) {
    arrivedMicros = micros;
  }

  /**
   * Takes all bytes and adds what they complete: {@link QueuedRequest}, {@link ExpectContinue},
   * {@link HttpEvent.Began} and {@link HttpEvent.Malformed}.
   */
  void decode(ByteBuffer bytes, List<Object> events) {
    output = events;
    decoder.decode(bytes, decoded);
    forwardDecoded(events);
    output = null; // an idle connection holds nothing of what it carried
  }

  /** Gives back what an incomplete request took of the budget; once the connection is closed. */
  void releaseBody() {
    bodyBudget.release(body.size());
  }

  /** A piece of a body where it lies. */
  private void appendBody(ByteBuffer piece) {
    forwardDecoded(output); // the head may have come with it
    if (rejection.isPresent() || budgetExceeded) {
      return; // read and discarded
    }
    int size = piece.remaining();
    if (!reserve(size)) {
      budgetExceeded = true;
      output.add(new HttpEvent.Malformed(503, "no room for the request's content"));
      return;
    }
    body.write(piece.array(), piece.arrayOffset() + piece.position(), size);
    if (!askedForRejection
        && body.size() >= Math.max(options.heavyBodyBytes(), service.earlyRejectionBytes())) {
      askForRejection();
    }
  }

  private boolean reserve(int size) {
    return body.size() + size <= SMALL_BODY_BYTES
        ? bodyBudget.tryReserve(size)
        : bodyBudget.tryReserveWithin(LARGE_BODIES_PART, size);
  }

  private void askForRejection() {
    askedForRejection = true;
    rejection = service.rejectEarly(requestSoFar());
    if (rejection.isPresent()) {
      bodyBudget.release(body.size());
      body = new ByteArrayOutputStream(0);
    }
  }

  private void forwardDecoded(List<Object> events) {
    // once the budget is exceeded, what was taken of it stays with the body until the close
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
    if (heavy && !askedForRejection) {
      askForRejection();
    }
    HttpRequest request = requestSoFar();
    // a reset would keep its memory for as long as the connection
    body = new ByteArrayOutputStream(0);
    QueuedRequest queued =
        new QueuedRequest(request, head.keepAlive(), head.minorVersion() > 0, heavy);
    if (rejection.isPresent()) {
      queued.reject(rejection.get());
    } else if (!heavy) {
      queued.setPrepared(service.prepare(request));
    }
    rejection = Optional.empty();
    askedForRejection = false;
    return queued;
  }

  private HttpRequest requestSoFar() {
    return new HttpRequest(
        head.method(), head.target(), head.headers(), body.toByteArray(), arrivedMicros);
  }
}
