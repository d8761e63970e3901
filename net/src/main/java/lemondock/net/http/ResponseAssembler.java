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
 * Makes heads, bodies and events of streams of a connection's bytes. I/O threads, one at a time,
 * but for {@link #setReceiver}.
 */
final class ResponseAssembler {
  private static final HttpEvent BEGAN = new HttpEvent.Began();

  /** In place of a call's receiver, which must not be held by an idle connection. */
  private static final ResponseReceiver NO_RECEIVER =
      new ResponseReceiver() {
        @Override
        public void onComplete() {}

        @Override
        public void onFailure(RequestFailure failure, String reason) {}
      };

  /** The whole body of a response that is no event stream. */
  record Body(byte[] bytes) {}

  /**
   * Bytes came that answer no request, or before anything of the next one was written: surplus of a
   * response, however late.
   */
  enum Surplus {
    BYTES
  }

  private final int maxEventBytes;
  private final HttpDecoder decoder;
  private final SseEventSink eventSink = this::acceptEvent;

  // I/O thread only, each from here on:
  private final List<HttpEvent> decoded = new ArrayList<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  /** Where events go while bytes are decoded, else null. */
  private List<Object> output;

  /** Null if the response is no event stream. */
  private SseDecoder sseDecoder;

  /** Between a response's head and its end. */
  private boolean inResponse;

  /** A response ended within the bytes at hand. */
  private boolean responseEnded;

  /** Set on the loop, read on the I/O thread. */
  private volatile ResponseReceiver receiver;

  ResponseAssembler(HttpClientOptions options) {
    this.maxEventBytes = options.maxEventBytes();
    this.decoder = HttpDecoder.forResponses(options.limits()).withContentSink(this::appendContent);
  }

  /** Whom events are offered to on the I/O thread; null if there is no call. Loop thread only. */
  void setReceiver(ResponseReceiver next) {
    receiver = next == null ? NO_RECEIVER : next;
  }

  boolean isInResponse() {
    return inResponse;
  }

  /**
   * Takes all bytes and adds what they complete: {@link HttpEvent.ResponseHead}, {@link Body},
   * mapped events, {@link HttpEvent.End}, {@link HttpEvent.Malformed} and {@link Surplus}.
   */
  void decode(ByteBuffer bytes, List<Object> events) {
    responseEnded = false;
    output = events;
    decoder.decode(bytes, decoded);
    boolean begunFurther = decoded.contains(BEGAN);
    forwardDecoded(events);
    if (begunFurther && responseEnded && !inResponse) {
      // part of a further response in the bytes that ended this one
      events.add(Surplus.BYTES);
    }
    output = null; // an idle connection holds nothing of what it carried
  }

  /**
   * The server has closed: what that completes, nothing if it cut a response short. On the loop;
   * nothing is decoded any more.
   */
  List<Object> endOfInput() {
    decoder.end(decoded);
    boolean cutShort = decoded.stream().anyMatch(event -> event instanceof HttpEvent.Malformed);
    List<Object> events = new ArrayList<>();
    forwardDecoded(events);
    return cutShort ? List.of() : events;
  }

  private void appendContent(ByteBuffer piece) {
    forwardDecoded(output); // the head may have come with it
    if (sseDecoder == null) {
      body.write(piece.array(), piece.arrayOffset() + piece.position(), piece.remaining());
      return;
    }
    try {
      sseDecoder.decode(piece, eventSink);
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
    boolean eventStream =
        head.headers()
            .firstValue("content-type")
            .filter(type -> type.startsWith("text/event-stream"))
            .isPresent();
    sseDecoder = eventStream ? new SseDecoder(maxEventBytes) : null;
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
