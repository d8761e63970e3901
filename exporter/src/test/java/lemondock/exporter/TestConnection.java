package lemondock.exporter;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;
import lemondock.net.Loop;

/** A connection to a collector that takes bytes at once or only when the test says so. */
final class TestConnection implements Connection {
  private static final int HIGH_MARK_BYTES = 64 * 1024;
  private static final int LOW_MARK_BYTES = 16 * 1024;
  private static final String COUNT_PATH = "x.i.count.n ";

  final Handler handler;
  private final Loop loop;
  private final StringBuilder taken = new StringBuilder();
  private final StringBuilder queued = new StringBuilder();
  boolean takesAtOnce;
  private boolean isClosed;
  private boolean isClosing;
  private int readCount;
  private long maxQueuedBytes;

  TestConnection(Loop loop, Handler handler, boolean takesAtOnce) {
    this.loop = loop;
    this.handler = handler;
    this.takesAtOnce = takesAtOnce;
  }

  @Override
  public void read() {
    readCount++;
  }

  @Override
  public void write(ByteBuffer bytes) {
    queued.append(StandardCharsets.US_ASCII.decode(bytes));
    maxQueuedBytes = Math.max(maxQueuedBytes, queued.length());
    if (takesAtOnce) {
      take(queued.length());
    }
  }

  /** Takes queued bytes. */
  void take(int byteCount) {
    boolean wasHigh = queued.length() > HIGH_MARK_BYTES;
    taken.append(queued, 0, byteCount);
    queued.delete(0, byteCount);
    if (wasHigh && queued.length() <= LOW_MARK_BYTES) {
      loop.execute(handler::writeQueueDrained);
    }
    if (isClosing && queued.isEmpty()) {
      breakOff(null);
    }
  }

  /** Closes the connection; {@code cause} is null for an orderly close. */
  void breakOff(IOException cause) {
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
    return taken.length();
  }

  @Override
  public void close() {
    isClosing = true;
    if (queued.isEmpty()) {
      breakOff(null);
    }
  }

  @Override
  public void abort() {
    breakOff(null);
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

  /** All that was taken. */
  String taken() {
    return taken.toString();
  }

  /** Value and seconds of each line of the fixture's counter that was taken completely. */
  List<String> countLines() {
    List<String> found = new ArrayList<>();
    for (String line : taken.substring(0, taken.lastIndexOf("\n") + 1).split("\n")) {
      if (line.startsWith(COUNT_PATH)) {
        found.add(line.substring(COUNT_PATH.length()));
      }
    }
    return found;
  }
}
