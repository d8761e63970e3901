package lemondock.net.http;

import java.nio.ByteBuffer;
import lemondock.net.Connection;
import lemondock.net.OutBuffer;

/**
 * One request and its response: either whole ({@link #respond}) or streamed ({@link #begin}, {@link
 * #send}, {@link #finish}). Loop thread only, unless a method says otherwise.
 */
public final class HttpExchange {
  /** How long a client may take to read what was sent before a truncated response. */
  private static final long TRUNCATE_TIMEOUT_MICROS = 2_000_000;

  /** How far the response has come. */
  private enum ResponseState {
    NOT_BEGUN,
    BEGUN,
    ENDED
  }

  private final ServerConnection connection;
  private final HttpRequest request;
  private final Object prepared;
  private final boolean keepAlive;
  private final boolean chunked;

  // Loop thread only, each from here on; read by other threads in send() under the lock of the
  // response's one writer:
  private ResponseState state = ResponseState.NOT_BEGUN;
  private boolean closesConnection;
  private Runnable onDisconnect = () -> {};
  private Runnable onWriteQueueDrained = () -> {};

  HttpExchange(
      ServerConnection connection,
      HttpRequest request,
      Object prepared,
      boolean keepAlive,
      boolean chunked) {
    this.connection = connection;
    this.request = request;
    this.prepared = prepared;
    this.keepAlive = keepAlive;
    this.chunked = chunked;
  }

  /** The request; without its body if {@link HttpService#needsBodyToServe} says so. */
  public HttpRequest request() {
    return request;
  }

  /** The shard of the client's connection. */
  public int shard() {
    return connection.transport().shard();
  }

  /** What {@link HttpService#prepare} made of the request. */
  public Object prepared() {
    return prepared;
  }

  /** Responds whole; does nothing if a response was begun or the connection is gone. */
  public void respond(int status, Headers headers, byte[] body) {
    if (state != ResponseState.NOT_BEGUN || !isCurrent()) {
      return;
    }
    state = ResponseState.BEGUN;
    ByteBuffer bytes = HttpEncoder.response(status, withClose(headers), body);
    if (request.method().equals("HEAD")) {
      bytes.limit(bytes.limit() - body.length);
    }
    connection.transport().write(bytes);
    end();
  }

  /** Begins a streamed response; does nothing if one was begun or the connection is gone. */
  public void begin(int status, Headers headers) {
    if (state != ResponseState.NOT_BEGUN || !isCurrent()) {
      return;
    }
    state = ResponseState.BEGUN;
    if (chunked) {
      connection.transport().write(HttpEncoder.chunkedHead(status, withClose(headers)));
    } else {
      closesConnection = true;
      connection.transport().write(HttpEncoder.headUntilClose(status, withClose(headers)));
    }
    connection.watchProgress();
  }

  /**
   * Sends a piece of a response that was begun. Any thread, for a response that one holder of a
   * lock writes; see {@link Connection#writeFromAnyThread}.
   */
  public void send(byte[] bytes) {
    if (isStreaming() && bytes.length > 0) {
      connection
          .transport()
          .writeFromAnyThread(chunked ? HttpEncoder.chunk(bytes) : ByteBuffer.wrap(bytes));
    }
  }

  /**
   * The same for a piece that stays the caller's; its buffer is framed in place, and to be reset
   * before it is used again.
   */
  public void send(OutBuffer piece) {
    if (isStreaming() && piece.length() > 0) {
      OutBuffer framed = chunked ? piece.frameAsChunk() : piece;
      connection.transport().writeFromAnyThread(framed.array(), framed.offset(), framed.length());
    }
  }

  /** Ends a streamed response. */
  public void finish() {
    if (isStreaming()) {
      if (chunked) {
        connection.transport().write(HttpEncoder.lastChunk());
      }
      end();
    }
  }

  /** Breaks the connection, whatever was sent. */
  public void abort() {
    if (isCurrent()) {
      connection.transport().abort();
    }
  }

  /**
   * Closes the connection behind what was sent so far, without ending the response: its client gets
   * all there is and sees that it is not complete. One that does not take it in time is cut off all
   * the same.
   */
  public void truncate() {
    if (isStreaming()) {
      state = ResponseState.ENDED;
      connection.closeAfterTruncation(TRUNCATE_TIMEOUT_MICROS);
    }
  }

  /** Bytes of this connection's responses that the operating system has not taken. */
  public long pendingBytes() {
    return connection.transport().pendingBytes();
  }

  /** Whether a response may still be given or go on. */
  public boolean isOpen() {
    return !isEnded() && isCurrent();
  }

  /** Has the task run if the connection is lost before the response is finished. */
  public void onDisconnect(Runnable task) {
    onDisconnect = task;
  }

  /** Has the task run when the queue of bytes has run low after having been long. */
  public void onWriteQueueDrained(Runnable task) {
    onWriteQueueDrained = task;
  }

  boolean isEnded() {
    return state == ResponseState.ENDED;
  }

  boolean closesConnection() {
    return closesConnection;
  }

  void connectionLost() {
    onDisconnect.run();
  }

  void writeQueueDrained() {
    onWriteQueueDrained.run();
  }

  private boolean isStreaming() {
    return state == ResponseState.BEGUN && isCurrent();
  }

  private boolean isCurrent() {
    return connection.isCurrent(this);
  }

  private Headers withClose(Headers headers) {
    if (!keepAlive || closesConnection || connection.isClosingOrDraining()) {
      closesConnection = true;
      headers.add("connection", "close");
    }
    return headers;
  }

  private void end() {
    state = ResponseState.ENDED;
    connection.exchangeFinished(this);
  }
}
