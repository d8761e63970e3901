package lemondock.net.http;

import static lemondock.net.http.ProtocolViolation.require;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/**
 * Incremental decoder of HTTP/1.1 messages (RFC 9112) from bytes split anywhere; no I/O. Framing is
 * strict: input that two implementations might interpret differently (both a content length and
 * chunked coding, several content lengths, a bare CR or LF in a head, folded fields, a space before
 * a colon) is rejected, which prevents request smuggling.
 */
public final class HttpDecoder {
  private static final int INITIAL_LINE_BYTES = 256;

  /** A line buffer that grew beyond this size is replaced after the line. */
  private static final int MAX_RETAINED_LINE_BYTES = 1024;

  /** Larger sizes are not parsed any further; leading zeros do not count (RFC 9112, 7.1). */
  private static final long MAX_CHUNK_SIZE = 1L << 48;

  /** The element that is expected next in the stream. */
  private enum State {
    START,
    FIELDS,
    FIXED,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS,
    UNTIL_CLOSE,
    FAILED
  }

  private final boolean decodesRequests;
  private final HttpLimits limits;
  private byte[] line = new byte[INITIAL_LINE_BYTES];
  private int lineLength;
  private boolean sawCarriageReturn;
  private State state = State.START;
  private MessageHead head;

  /** Bytes still to come of the current content or chunk. */
  private long remainingBytes;

  /** Content bytes of the message so far. */
  private long bodyBytes;

  private boolean beginningReported;
  private ContentSink contentSink = bytes -> {};

  /** Whether the content of a message with these headers may have any length in all. */
  private Predicate<Headers> unlimitedContent = headers -> false;

  /** Maximum length of the content of the current message. */
  private long maxContentBytes;

  /** Receives pieces of content without a copy. */
  public interface ContentSink {
    /**
     * Accepts the next piece of content without its framing. The buffer is only valid until this
     * method returns. All events that precede the piece have already been added to the output.
     */
    void accept(ByteBuffer bytes);
  }

  private HttpDecoder(boolean decodesRequests, HttpLimits limits) {
    this.decodesRequests = decodesRequests;
    this.limits = limits;
  }

  /** Creates a decoder of requests, for a server. */
  public static HttpDecoder forRequests(HttpLimits limits) {
    return new HttpDecoder(true, limits);
  }

  /** Creates a decoder of responses, for a client. */
  public static HttpDecoder forResponses(HttpLimits limits) {
    return new HttpDecoder(false, limits);
  }

  /** Passes content to the sink; content is discarded if no sink is set. */
  public HttpDecoder withContentSink(ContentSink sink) {
    contentSink = sink;
    return this;
  }

  /**
   * Exempts messages from the limit on the whole content, because they are never held as a whole;
   * the limit then applies to each chunk.
   *
   * @param isUnlimited whether a message with these headers is exempt
   */
  public HttpDecoder withUnlimitedContent(Predicate<Headers> isUnlimited) {
    unlimitedContent = isUnlimited;
    return this;
  }

  /**
   * Consumes all bytes and adds the events that they complete; after {@link HttpEvent.Malformed}
   * all further bytes are consumed and discarded.
   */
  public void decode(ByteBuffer in, List<? super HttpEvent> out) {
    try {
      while (in.hasRemaining()) {
        step(in, out);
      }
      if (!beginningReported && state != State.FAILED && (state != State.START || lineLength > 0)) {
        beginningReported = true;
        out.add(new HttpEvent.Began());
      }
    } catch (ProtocolViolation e) {
      state = State.FAILED;
      in.position(in.limit());
      out.add(new HttpEvent.Malformed(e.status(), e.getMessage()));
    }
  }

  /** Bytes held of the current line and of a head that is not complete. */
  public int incompleteHeadBytes() {
    return switch (state) {
      case FIELDS -> lineLength + head.bytes();
      case FAILED -> 0;
      default -> lineLength;
    };
  }

  /**
   * Handles the end of input: completes content that is delimited by the close, and reports an
   * incomplete message as malformed.
   */
  public void end(List<? super HttpEvent> out) {
    if (state == State.UNTIL_CLOSE) {
      endMessage(out);
    } else if (state != State.FAILED && !(state == State.START && lineLength == 0)) {
      state = State.FAILED;
      out.add(new HttpEvent.Malformed(400, "the connection ended before the message was complete"));
    }
  }

  private void step(ByteBuffer in, List<? super HttpEvent> out) {
    switch (state) {
      case START -> {
        if (readLine(in)) {
          parseStartLine();
        }
      }
      case FIELDS -> readField(in, out);
      case FIXED -> {
        remainingBytes -= readContent(in, remainingBytes);
        if (remainingBytes == 0) {
          endMessage(out);
        }
      }
      case CHUNK_SIZE -> {
        if (readLine(in)) {
          parseChunkSize();
        }
      }
      case CHUNK -> {
        remainingBytes -= readContent(in, remainingBytes);
        if (remainingBytes == 0) {
          state = State.CHUNK_END;
        }
      }
      case CHUNK_END -> readChunkEnd(in);
      case TRAILERS -> readTrailer(in, out);
      case UNTIL_CLOSE -> readContent(in, Long.MAX_VALUE);
      default -> in.position(in.limit());
    }
  }

  private void readField(ByteBuffer in, List<? super HttpEvent> out) {
    if (readLine(in)) {
      if (lineLength == 0) {
        endHead(out);
      } else {
        parseField();
      }
    }
  }

  private void readChunkEnd(ByteBuffer in) {
    boolean complete = readLine(in);
    require(lineLength == 0, 400, "a chunk is longer than its stated size");
    if (complete) {
      state = State.CHUNK_SIZE;
    }
  }

  private void readTrailer(ByteBuffer in, List<? super HttpEvent> out) {
    if (readLine(in)) {
      if (lineLength == 0) {
        endMessage(out);
      } else {
        head.countField(lineLength);
      }
      lineLength = 0;
    }
  }

  /**
   * Reads bytes of the current line; returns true once it is complete and its text is the first
   * {@code lineLength} bytes of {@code line}.
   */
  private boolean readLine(ByteBuffer in) {
    while (in.hasRemaining()) {
      byte next = in.get();
      if (sawCarriageReturn) {
        require(next == '\n', 400, "a carriage return without a line feed");
        sawCarriageReturn = false;
        return true;
      }
      if (next == '\r') {
        sawCarriageReturn = true;
      } else {
        require(next != '\n', 400, "a line feed without a carriage return");
        require(next != 0, 400, "a NUL in a head");
        if (lineLength >= limits.maxLineBytes()) {
          throw new ProtocolViolation(
              state == State.START && decodesRequests ? 414 : 431,
              "a line is longer than " + limits.maxLineBytes() + " bytes");
        }
        if (lineLength == line.length) {
          line = Arrays.copyOf(line, Math.min(limits.maxLineBytes(), line.length * 2));
        }
        line[lineLength++] = next;
      }
    }
    return false;
  }

  private String takeLine() {
    String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
    clearLine();
    return text;
  }

  private void clearLine() {
    lineLength = 0;
    if (line.length > MAX_RETAINED_LINE_BYTES) {
      line = new byte[INITIAL_LINE_BYTES];
    }
  }

  private void parseStartLine() {
    if (lineLength == 0) {
      return; // an empty line before a request is ignored (RFC 9112, section 2.2)
    }
    head = new MessageHead(decodesRequests, limits, takeLine());
    bodyBytes = 0;
    state = State.FIELDS;
  }

  private void parseField() {
    head.countField(lineLength);
    head.addField(takeLine());
  }

  private void endHead(List<? super HttpEvent> out) {
    boolean keepAlive = head.keepAlive();
    boolean chunked = head.isChunked();
    long length = head.contentLength();
    require(!chunked || length == MessageHead.NO_LENGTH, 400, "both a length and chunks");
    maxContentBytes =
        unlimitedContent.test(head.headers()) ? Long.MAX_VALUE : limits.maxBodyBytes();
    if (decodesRequests) {
      endRequestHead(keepAlive, out);
      beginContent(chunked, length, out);
    } else {
      endResponseHead(keepAlive, chunked, length, out);
    }
  }

  private void endRequestHead(boolean keepAlive, List<? super HttpEvent> out) {
    Headers headers = head.headers();
    require(head.isHttp10() || headers.allValues("host").size() == 1, 400, "not one Host field");
    int minorVersion = head.isHttp10() ? 0 : 1;
    out.add(
        new HttpEvent.RequestHead(head.method(), head.target(), minorVersion, headers, keepAlive));
  }

  private void endResponseHead(
      boolean keepAlive, boolean chunked, long length, List<? super HttpEvent> out) {
    int status = head.status();
    if (status < 200) {
      require(status != 101, 502, "a protocol upgrade (status 101) that was not requested");
      state = State.START; // skips an interim response
      return;
    }
    boolean noContent = hasNoContent(status);
    boolean untilClose = !chunked && length == MessageHead.NO_LENGTH && !noContent;
    out.add(new HttpEvent.ResponseHead(status, head.headers(), keepAlive && !untilClose));
    if (noContent) {
      endMessage(out);
    } else {
      beginContent(chunked, length, out);
    }
  }

  private void beginContent(boolean chunked, long length, List<? super HttpEvent> out) {
    if (chunked) {
      state = State.CHUNK_SIZE;
    } else if (length > 0) {
      require(
          length <= maxContentBytes,
          413,
          "content of " + length + " bytes, over " + maxContentBytes);
      remainingBytes = length;
      state = State.FIXED;
    } else if (decodesRequests || length == 0) {
      endMessage(out);
    } else {
      state = State.UNTIL_CLOSE;
    }
  }

  private static boolean hasNoContent(int status) {
    return status == 204 || status == 304;
  }

  private void parseChunkSize() {
    int end = 0;
    long size = 0;
    for (; end < lineLength && Character.digit(line[end], 16) >= 0; end++) {
      require(size <= MAX_CHUNK_SIZE, 400, "a chunk size of too many digits");
      size = size << 4 | Character.digit(line[end], 16);
    }
    require(end > 0, 400, "no chunk size");
    if (end < lineLength) {
      String rest = new String(line, end, lineLength - end, StandardCharsets.ISO_8859_1).strip();
      require(rest.isEmpty() || rest.startsWith(";"), 400, "a chunk size that is not a number");
    }
    require(
        size <= Math.min(limits.maxBodyBytes(), maxContentBytes - bodyBytes),
        413,
        "a chunk of " + size + " bytes, over " + limits.maxBodyBytes() + " in all");
    clearLine();
    remainingBytes = size;
    state = size == 0 ? State.TRAILERS : State.CHUNK;
  }

  private int readContent(ByteBuffer in, long maxBytes) {
    int count = (int) Math.min(in.remaining(), maxBytes);
    bodyBytes += count;
    if (bodyBytes > maxContentBytes) {
      throw new ProtocolViolation(413, "content of over " + maxContentBytes + " bytes");
    }
    int limit = in.limit();
    int end = in.position() + count;
    contentSink.accept(in.limit(end));
    in.limit(limit).position(end);
    return count;
  }

  private void endMessage(List<? super HttpEvent> out) {
    state = State.START;
    beginningReported = false;
    lineLength = 0;
    out.add(new HttpEvent.End());
  }
}
