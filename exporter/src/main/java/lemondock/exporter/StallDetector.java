package lemondock.exporter;

import lemondock.net.Connection;

/** Detects that a connection no longer accepts the bytes queued on it. Loop thread only. */
final class StallDetector {
  private final long stallMicros;
  private long flushedBytes;
  private long lastProgressMicros;
  private boolean hasMadeProgress;

  /** Creates a detector; a connection is stalled after {@code stallMicros} without progress. */
  StallDetector(long stallMicros) {
    this.stallMicros = stallMicros;
  }

  /** Starts to observe another connection. */
  void reset(long nowMicros) {
    flushedBytes = 0;
    lastProgressMicros = nowMicros;
    hasMadeProgress = false;
  }

  /**
   * Observes the connection and returns whether it has stalled: bytes are queued, but none was
   * flushed for longer than the limit.
   */
  boolean isStalled(Connection connection, long nowMicros) {
    long flushedBytesNow = connection.flushedBytes();
    if (flushedBytesNow != flushedBytes || connection.pendingBytes() == 0) {
      hasMadeProgress |= flushedBytesNow > 0;
      flushedBytes = flushedBytesNow;
      lastProgressMicros = nowMicros;
      return false;
    }
    return nowMicros - lastProgressMicros > stallMicros;
  }

  /** Whether the connection was observed to have flushed any bytes. */
  boolean hasMadeProgress() {
    return hasMadeProgress;
  }
}
