package lemondock.exporter;

import lemondock.net.Connection;

/** Tells whether a connection still takes what is queued on it. Loop thread only. */
final class StallDetector {
  private final long stallMicros;
  private long flushedBytes;
  private long lastProgressMicros;
  private boolean hasMadeProgress;

  /** Makes a detector; {@code stallMicros} without progress are a stall. */
  StallDetector(long stallMicros) {
    this.stallMicros = stallMicros;
  }

  /** Begins anew with another connection. */
  void reset(long nowMicros) {
    flushedBytes = 0;
    lastProgressMicros = nowMicros;
    hasMadeProgress = false;
  }

  /** Looks at the connection; whether it has been stalled for too long. */
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

  /** Whether the connection was seen to have taken anything. */
  boolean hasMadeProgress() {
    return hasMadeProgress;
  }
}
