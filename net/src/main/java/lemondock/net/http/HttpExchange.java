package lemondock.net.http;

import java.nio.ByteBuffer;
import lemondock.net.Connection;
import lemondock.net.OutBuffer;

/**
 * One request and its response, which is sent either at once ({@link #respond}) or streamed ({@link
 * #begin}, {@link #send}, {@link #finish}). Loop thread only, unless a method says otherwise.
 */
public final class HttpExchange {
  /**
   * Time that a client has, after its response was truncated, to read the bytes already queued;
   * then the connection is aborted.
   */
  private static final long TRUNCATE_TIMEOUT_MICROS = 2_000_000;

  /** Progress of the response. */
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

  // All fields below: written on the loop thread. send() may read them on another thread, under the
  // lock with which its caller guards all writes of the response.
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

  /** The request; without its body if {@link HttpService#needsBodyToServe} returns false. */
  public HttpRequest request() {
    return request;
  }

  /** Number of the shard that serves the client's connection. */
  public int shard() {
    return connection.transport().shard();
  }

  /** The result of {@link HttpService#prepare} for this request. */
  public Object prepared() {
    return prepared;
  }

  /** Sends a complete response; does nothing if a response was begun or the connection is lost. */
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

  /** Begins a streamed response; does nothing if a response was begun or the connection is lost. */
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
   * Sends a piece of a response that was begun. Any thread, provided that a lock of the caller
   * guards all writes of the response; see {@link Connection#writeFromAnyThread}.
   */
  public void send(byte[] bytes) {
    if (isStreaming() && bytes.length > 0) {
      connection
          .transport()
          .writeFromAnyThread(chunked ? HttpEncoder.chunk(bytes) : ByteBuffer.wrap(bytes));
    }
  }

  /**
   * Sends a piece of a response like {@link #send(byte[])}, but the caller keeps the buffer. The
   * buffer is framed in place and must be reset before it is reused.
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

  /** Aborts the connection; bytes that are still queued are dropped. */
  public void abort() {
    if (isCurrent()) {
      connection.abort(CloseReason.EXCHANGE_ABORTED);
    }
  }

  /**
   * Closes the connection after the bytes sent so far, without ending the response: the client
   * receives all of them and can see that the response is incomplete. The connection is aborted if
   * the client does not read them in time.
   */
  public void truncate() {
    if (isStreaming()) {
      state = ResponseState.ENDED;
      connection.closeAfterTruncation(TRUNCATE_TIMEOUT_MICROS);
    }
  }

  /** Bytes queued on this connection that the operating system has not accepted yet. */
  public long pendingBytes() {
    return connection.transport().pendingBytes();
  }

  /** Whether a response may still be begun or continued. */
  public boolean isOpen() {
    return !isEnded() && isCurrent();
  }

  /** Sets the task that runs if the connection is lost before the response is finished. */
  public void onDisconnect(Runnable task) {
    onDisconnect = task;
  }

  /**
   * Sets the task that runs when the write queue falls to its low-water mark after being above its
   * high-water mark.
   */
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
