package lemondock.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.sse.EventTooLongException;
import lemondock.net.sse.SseDecoder;
import lemondock.net.sse.SseEvent;
import lemondock.net.sse.SseEventSink;

/**
 * Assembles the bytes of a connection into response heads, bodies and server-sent events. Runs on
 * I/O threads, one at a time, except {@link #setReceiver} and {@link #endOfInput}.
 */
final class ResponseAssembler {
  /** Media types are case-insensitive (RFC 9110, section 8.3.1). */
  private static final String EVENT_STREAM = "text/event-stream";

  private static final HttpEvent BEGAN = new HttpEvent.Began();

  /** Replaces the receiver of a call, so that an idle connection does not retain it. */
  private static final ResponseReceiver NO_RECEIVER =
      new ResponseReceiver() {
        @Override
        public void onComplete() {}

        @Override
        public void onFailure(RequestFailure failure, String reason) {}
      };

  /** The complete body of a response that is not an event stream. */
  record Body(byte[] bytes) {}

  /**
   * Surplus bytes of an earlier response: they were received without a request, or before any byte
   * of the next request was written.
   */
  enum Surplus {
    BYTES
  }

  private final int maxEventBytes;
  private final HttpDecoder decoder;
  private final SseEventSink eventSink = this::acceptEvent;

  // All fields below: I/O thread only, except where stated.
  private final List<HttpEvent> decoded = new ArrayList<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  /** Receives events while bytes are decoded; null otherwise. */
  private List<Object> output;

  /** Null if the response is not an event stream. */
  private SseDecoder sseDecoder;

  /** Whether the head of a response was decoded, but not its end. */
  private boolean inResponse;

  /** Whether a response ended within the bytes being decoded. */
  private boolean responseEnded;

  /** Set on the loop, read on the I/O thread. */
  private volatile ResponseReceiver receiver;

  ResponseAssembler(HttpClientOptions options) {
    this.maxEventBytes = options.maxEventBytes();
    this.decoder =
        HttpDecoder.forResponses(options.limits())
            .withContentSink(this::appendContent)
            .withUnlimitedContent(ResponseAssembler::isEventStream);
  }

  /**
   * Sets the receiver to which events are offered on the I/O thread; null if there is no call. Loop
   * thread only.
   */
  void setReceiver(ResponseReceiver next) {
    receiver = next == null ? NO_RECEIVER : next;
  }

  boolean isInResponse() {
    return inResponse;
  }

  /**
   * Consumes all bytes and adds the events that they complete: {@link HttpEvent.ResponseHead},
   * {@link Body}, mapped events, {@link HttpEvent.End}, {@link HttpEvent.Malformed} and {@link
   * Surplus}.
   */
  void decode(ByteBuffer bytes, List<Object> events) {
    responseEnded = false;
    output = events;
    decoder.decode(bytes, decoded);
    boolean beganAnother = decoded.contains(BEGAN);
    forwardDecoded(events);
    if (beganAnother && responseEnded && !inResponse) {
      // part of another response follows the end of this one
      events.add(Surplus.BYTES);
    }
    output = null; // so that an idle connection does not retain events
  }

  /**
   * Handles the close by the server. Runs on the loop, after the last decoding.
   *
   * @return the events that the close completes; empty if it truncated a response
   */
  List<Object> endOfInput() {
    decoder.end(decoded);
    boolean truncated = decoded.stream().anyMatch(event -> event instanceof HttpEvent.Malformed);
    List<Object> events = new ArrayList<>();
    forwardDecoded(events);
    return truncated ? List.of() : events;
  }

  private void appendContent(ByteBuffer piece) {
    forwardDecoded(output); // the head may be in the same batch
    if (sseDecoder == null) {
      body.write(piece.array(), piece.arrayOffset() + piece.position(), piece.remaining());
      return;
    }
    try {
      sseDecoder.decode(piece, eventSink);
      if (sseDecoder.hasIncompleteData()) {
        receiver.eventInProgress();
      }
    } catch (EventTooLongException e) {
      output.add(new HttpEvent.Malformed(502, e.getMessage()));
    }
  }

  private void acceptEvent(String id, String type, byte[] data, int length) {
    if (!output.isEmpty() || !receiver.consumeInPlace(data, length)) {
      String text = new String(data, 0, length, StandardCharsets.UTF_8);
      output.add(receiver.mapEvent(new SseEvent(id, type, text)));
    }
  }

  private void forwardDecoded(List<Object> events) {
    for (int i = 0; i < decoded.size(); i++) {
      HttpEvent event = decoded.get(i);
      if (event instanceof HttpEvent.ResponseHead head) {
        beginResponse(head);
        events.add(head);
      } else if (event instanceof HttpEvent.End) {
        endResponse(events);
        events.add(event);
      } else if (event instanceof HttpEvent.Malformed) {
        events.add(event);
      }
    }
    decoded.clear();
  }

  private void beginResponse(HttpEvent.ResponseHead head) {
    inResponse = true;
    sseDecoder = isEventStream(head.headers()) ? new SseDecoder(maxEventBytes) : null;
  }

  private static boolean isEventStream(Headers headers) {
    return headers
        .firstValue("content-type")
        .filter(type -> type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length()))
        .isPresent();
  }

  private void endResponse(List<Object> events) {
    inResponse = false;
    responseEnded = true;
    if (sseDecoder == null) {
      events.add(new Body(body.toByteArray()));
      body.reset();
    }
  }
}
