package lemondock.exporter;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;
import lemondock.net.Loop;

/**
 * A connection to a collector that accepts bytes immediately or when a test calls {@link #accept}.
 */
final class TestConnection implements Connection {
  private static final int HIGH_WATER_MARK_BYTES = 64 * 1024;
  private static final int LOW_WATER_MARK_BYTES = 16 * 1024;
  private static final String COUNT_PATH = "x.i.count.n ";

  final Handler handler;
  private final Loop loop;
  private final StringBuilder accepted = new StringBuilder();
  private final StringBuilder queued = new StringBuilder();
  boolean acceptsImmediately;
  private boolean isClosed;
  private boolean isClosing;
  private int readCount;
  private long maxQueuedBytes;

  TestConnection(Loop loop, Handler handler, boolean acceptsImmediately) {
    this.loop = loop;
    this.handler = handler;
    this.acceptsImmediately = acceptsImmediately;
  }

  @Override
  public void read() {
    readCount++;
  }

  @Override
  public void write(ByteBuffer bytes) {
    queued.append(StandardCharsets.US_ASCII.decode(bytes));
    maxQueuedBytes = Math.max(maxQueuedBytes, queued.length());
    if (acceptsImmediately) {
      accept(queued.length());
    }
  }

  /** Accepts queued bytes, as the operating system does. */
  void accept(int byteCount) {
    boolean wasAboveHighWaterMark = queued.length() > HIGH_WATER_MARK_BYTES;
    accepted.append(queued, 0, byteCount);
    queued.delete(0, byteCount);
    if (wasAboveHighWaterMark && queued.length() <= LOW_WATER_MARK_BYTES) {
      loop.execute(handler::writeQueueDrained);
    }
    if (isClosing && queued.isEmpty()) {
      closeWith(null);
    }
  }

  /** Closes the connection; {@code cause} is null if it was closed without an error. */
  void closeWith(IOException cause) {
    if (!isClosed) {
      isClosed = true;
      loop.execute(() -> handler.closed(cause));
    }
  }

  @Override
  public long pendingBytes() {
    return queued.length();
  }

  @Override
  public long flushedBytes() {
    return accepted.length();
  }

  @Override
  public void close() {
    isClosing = true;
    if (queued.isEmpty()) {
      closeWith(null);
    }
  }

  @Override
  public void abort() {
    closeWith(null);
  }

  @Override
  public InetSocketAddress remoteAddress() {
    return null;
  }

  boolean isClosing() {
    return isClosing;
  }

  int readCount() {
    return readCount;
  }

  long maxQueuedBytes() {
    return maxQueuedBytes;
  }

  /** All text accepted so far. */
  String acceptedText() {
    return accepted.toString();
  }

  /** Value and timestamp of each completely accepted line of the fixture's counter. */
  List<String> countLines() {
    List<String> countLines = new ArrayList<>();
    for (String line : accepted.substring(0, accepted.lastIndexOf("\n") + 1).split("\n")) {
      if (line.startsWith(COUNT_PATH)) {
        countLines.add(line.substring(COUNT_PATH.length()));
      }
    }
    return countLines;
  }
}
