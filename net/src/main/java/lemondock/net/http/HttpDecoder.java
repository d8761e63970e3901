package lemondock.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Reads HTTP/1.1 messages (RFC 9112) from bytes split anywhere; no I/O. Framing is taken strictly:
 * what two implementations might read differently (both a length and chunks, several lengths, bare
 * line ends in a head, folded fields, space before a colon) is refused, so that no request can hide
 * in another.
 */
public final class HttpDecoder {
  private static final String TOKEN = "!#$%&'*+-.^_`|~";
  private static final int MOST_CHUNK_DIGITS = 12;

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

  private final boolean requests;
  private final HttpLimits limits;
  private byte[] line = new byte[256];
  private int lineLength;
  private boolean sawReturn;
  private State state = State.START;
  private String[] start;
  private Headers headers;
  private int headerBytes;
  private long left;
  private long body;
  private boolean headRequest;
  private boolean begunTold;
  private ContentSink content = bytes -> {};

  /** Takes pieces of content where they lie. */
  public interface ContentSink {
    /**
     * The next piece, framing taken off; it is only there until this returns. All events before it
     * have been added.
     */
    void piece(ByteBuffer bytes);
  }

  private HttpDecoder(boolean requests, HttpLimits limits) {
    this.requests = requests;
    this.limits = limits;
  }

  /** A decoder for a server's side. */
  public static HttpDecoder forRequests(HttpLimits limits) {
    return new HttpDecoder(true, limits);
  }

  /** A decoder for a client's side. */
  public static HttpDecoder forResponses(HttpLimits limits) {
    return new HttpDecoder(false, limits);
  }

  /** Says that the next response answers a HEAD request and so has no content. */
  public void expectNoContent() {
    headRequest = true;
  }

  /** Has content go there; without it content is dropped. */
  public HttpDecoder withContentSink(ContentSink taker) {
    content = taker;
    return this;
  }

  /**
   * Takes all bytes and adds what they complete; after {@link HttpEvent.Malformed} it takes and
   * drops them.
   */
  public void decode(ByteBuffer in, List<? super HttpEvent> out) {
    try {
      while (in.hasRemaining()) {
        step(in, out);
      }
      if (!begunTold && state != State.FAILED && (state != State.START || lineLength > 0)) {
        begunTold = true;
        out.add(new HttpEvent.Began());
      }
    } catch (Refused e) {
      state = State.FAILED;
      in.position(in.limit());
      out.add(new HttpEvent.Malformed(e.status, e.getMessage()));
    }
  }

  /**
   * The peer has closed: completes content that lasts until then, and reports a message cut short.
   */
  public void end(List<? super HttpEvent> out) {
    if (state == State.UNTIL_CLOSE) {
      finish(out);
    } else if (state != State.FAILED && !(state == State.START && lineLength == 0)) {
      state = State.FAILED;
      out.add(new HttpEvent.Malformed(400, "the connection ended within a message"));
    }
  }

  private void step(ByteBuffer in, List<? super HttpEvent> out) {
    switch (state) {
      case START -> {
        if (line(in)) {
          startLine();
        }
      }
      case FIELDS -> {
        if (line(in)) {
          if (lineLength == 0) {
            head(out);
          } else {
            field();
          }
        }
      }
      case FIXED -> {
        left -= data(in, left);
        if (left == 0) {
          finish(out);
        }
      }
      case CHUNK_SIZE -> {
        if (line(in)) {
          chunkSize();
        }
      }
      case CHUNK -> {
        left -= data(in, left);
        if (left == 0) {
          state = State.CHUNK_END;
        }
      }
      case CHUNK_END -> {
        boolean whole = line(in);
        require(lineLength == 0, 400, "a chunk is longer than its stated size");
        if (whole) {
          state = State.CHUNK_SIZE;
        }
      }
      case TRAILERS -> {
        if (line(in)) {
          if (lineLength == 0) {
            finish(out);
          } else {
            countHeader();
          }
          lineLength = 0;
        }
      }
      case UNTIL_CLOSE -> data(in, Long.MAX_VALUE);
      default -> in.position(in.limit());
    }
  }

  /** Gathers one line; true when it is whole, its text being the first {@code lineLength} bytes. */
  private boolean line(ByteBuffer in) {
    while (in.hasRemaining()) {
      byte b = in.get();
      if (sawReturn) {
        require(b == '\n', 400, "a carriage return without a line feed");
        sawReturn = false;
        return true;
      }
      if (b == '\r') {
        sawReturn = true;
      } else {
        require(b != '\n', 400, "a line feed without a carriage return");
        require(b != 0, 400, "a NUL in a head");
        if (lineLength >= limits.maxLineBytes()) {
          throw new Refused(
              state == State.START && requests ? 414 : 431,
              "a line is longer than " + limits.maxLineBytes() + " bytes");
        }
        if (lineLength == line.length) {
          line = Arrays.copyOf(line, Math.min(limits.maxLineBytes(), line.length * 2));
        }
        line[lineLength++] = b;
      }
    }
    return false;
  }

  private String takeLine() {
    String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
    forgetLine();
    return text;
  }

  private void forgetLine() {
    lineLength = 0;
    if (line.length > 1024) {
      line = new byte[256];
    }
  }

  private void startLine() {
    if (lineLength == 0) {
      return; // an empty line before a request is passed over (RFC 9112, section 2.2)
    }
    start = takeLine().split(" ", 3);
    if (requests) {
      require(
          start.length == 3 && isToken(start[0]) && !start[1].isEmpty(), 400, "no request line");
      require(
          start[1].chars().allMatch(c -> c > ' ' && c < 0x7f),
          400,
          "the target holds a control character");
      require(start[2].startsWith("HTTP/"), 400, "no HTTP version in the request line");
      require(start[2].equals("HTTP/1.1") || start[2].equals("HTTP/1.0"), 505, "not HTTP/1");
    } else {
      require(
          start.length >= 2
              && (start[0].equals("HTTP/1.1") || start[0].equals("HTTP/1.0"))
              && start[1].matches("[1-9][0-9][0-9]"),
          502,
          "no status line");
    }
    headers = new Headers();
    headerBytes = 0;
    body = 0;
    state = State.FIELDS;
  }

  private void field() {
    countHeader();
    String text = takeLine();
    require(text.charAt(0) != ' ' && text.charAt(0) != '\t', 400, "a folded header field");
    int colon = text.indexOf(':');
    require(colon > 0 && isToken(text.substring(0, colon)), 400, "a header field without a name");
    String value = text.substring(colon + 1).strip();
    require(
        value.chars().allMatch(c -> c >= ' ' && c != 0x7f || c == '\t'),
        400,
        "a control character in a header field");
    headers.add(text.substring(0, colon), value);
  }

  private void countHeader() {
    headerBytes += lineLength;
    require(
        headerBytes <= limits.maxHeaderBytes(),
        431,
        "header fields of over " + limits.maxHeaderBytes() + " bytes");
    require(
        headers.size() < limits.maxHeaderFields(),
        431,
        "more than " + limits.maxHeaderFields() + " header fields");
  }

  private void head(List<? super HttpEvent> out) {
    int status = requests ? 0 : Integer.parseInt(start[1]);
    boolean old = (requests ? start[2] : start[0]).equals("HTTP/1.0");
    boolean keep =
        !headers.containsToken("connection", "close")
            && (!old || headers.containsToken("connection", "keep-alive"));
    boolean chunked = chunked(old);
    long length = length();
    require(!chunked || length < 0, 400, "both a length and chunks");
    if (requests) {
      require(old || headers.getAll("host").size() == 1, 400, "not one Host field");
      out.add(new HttpEvent.RequestHead(start[0], start[1], old ? 0 : 1, headers, keep));
    } else if (status < 200) {
      require(status != 101, 502, "an upgrade that was not asked for");
      state = State.START; // an interim response
      return;
    } else {
      boolean untilClose = !chunked && length < 0 && !noContent(status);
      out.add(new HttpEvent.ResponseHead(status, headers, keep && !untilClose));
    }
    if (!requests && noContent(status)) {
      finish(out);
    } else if (chunked) {
      state = State.CHUNK_SIZE;
    } else if (length > 0) {
      require(
          length <= limits.maxBodyBytes(),
          413,
          "content of " + length + " bytes, over " + limits.maxBodyBytes());
      left = length;
      state = State.FIXED;
    } else if (requests || length == 0) {
      finish(out);
    } else {
      state = State.UNTIL_CLOSE;
    }
  }

  private boolean noContent(int status) {
    return headRequest || status == 204 || status == 304;
  }

  private boolean chunked(boolean old) {
    List<String> codings = headers.getAll("transfer-encoding");
    if (codings.isEmpty()) {
      return false;
    }
    require(!old, 400, "a transfer coding in HTTP/1.0");
    require(
        codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked"),
        501,
        "transfer coding " + codings + " is not spoken");
    return true;
  }

  private long length() {
    List<String> lengths = headers.getAll("content-length");
    if (lengths.isEmpty()) {
      return -1;
    }
    require(
        lengths.size() == 1 && lengths.get(0).matches("[0-9]{1,18}"),
        400,
        "Content-Length is not one number: " + lengths);
    return Long.parseLong(lengths.get(0));
  }

  private void chunkSize() {
    int end = 0;
    long size = 0;
    for (; end < lineLength && Character.digit(line[end], 16) >= 0; end++) {
      require(end < MOST_CHUNK_DIGITS, 400, "no chunk size");
      size = size << 4 | Character.digit(line[end], 16);
    }
    require(end > 0, 400, "no chunk size");
    if (end < lineLength) {
      String rest = new String(line, end, lineLength - end, StandardCharsets.ISO_8859_1).strip();
      require(rest.isEmpty() || rest.startsWith(";"), 400, "a chunk size that is not a number");
    }
    require(
        size <= limits.maxBodyBytes() - body,
        413,
        "a chunk of " + size + " bytes, over " + limits.maxBodyBytes() + " in all");
    forgetLine();
    left = size;
    state = size == 0 ? State.TRAILERS : State.CHUNK;
  }

  private int data(ByteBuffer in, long most) {
    int count = (int) Math.min(in.remaining(), most);
    body += count;
    if (body > limits.maxBodyBytes()) {
      throw new Refused(413, "content of over " + limits.maxBodyBytes() + " bytes");
    }
    int limit = in.limit();
    int end = in.position() + count;
    content.piece(in.limit(end));
    in.limit(limit).position(end);
    return count;
  }

  private void finish(List<? super HttpEvent> out) {
    state = State.START;
    begunTold = false;
    headRequest = false;
    lineLength = 0;
    out.add(new HttpEvent.End());
  }

  private static boolean isToken(String text) {
    return !text.isEmpty()
        && text.chars()
            .allMatch(c -> c < 0x7f && (Character.isLetterOrDigit(c) || TOKEN.indexOf(c) >= 0));
  }

  private static void require(boolean holds, int status, String what) {
    if (!holds) {
      throw new Refused(status, what);
    }
  }

  private static final class Refused extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    Refused(int status, String what) {
      super(what, null, false, false);
      this.status = status;
    }
  }
}
