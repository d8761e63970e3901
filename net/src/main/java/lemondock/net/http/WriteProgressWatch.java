package lemondock.net.http;

import lemondock.net.Connection;
import lemondock.net.Loop;

/**
 * Aborts a client's connection if the client reads none of the queued bytes for too long. Loop
 * thread only.
 */
final class WriteProgressWatch {
  private final ServerConnection connection;
  private boolean watching;
  private Loop.Timer timer = () -> {};

  WriteProgressWatch(ServerConnection connection) {
    this.connection = connection;
  }

  /** Starts to watch, if anything is queued or a response is in progress. */
  void start() {
    Connection transport = connection.transport();
    if (watching || transport.pendingBytes() <= 0 && !connection.hasExchange()) {
      return;
    }
    watching = true;
    long flushedBefore = transport.flushedBytes();
    boolean hadPending = transport.pendingBytes() > 0;
    timer =
        connection
            .loop()
            .schedule(connection.stallTimeoutMicros(), () -> check(flushedBefore, hadPending));
  }

  private void check(long flushedBefore, boolean hadPending) {
    watching = false;
    Connection transport = connection.transport();
    boolean pending = transport.pendingBytes() > 0;
    if (hadPending && pending && transport.flushedBytes() == flushedBefore) {
      connection.abort(CloseReason.WRITE_STALLED);
    } else if (connection.mayWriteMore() || pending) {
      start();
    }
  }

  void stop() {
    timer.cancel();
  }
}
