package lemondock.dispatch;

/** The running counts behind {@link DispatchCounts}. Loop thread only. */
final class DispatchCounters {
  private long requests;
  private long attempts;
  private long completed;
  private long rejected;
  private long failed;
  private long interrupted;
  private long cancelled;
  private long releases;

  /** A request was submitted. */
  void requestSubmitted() {
    requests++;
  }

  /** The router has asked for an attempt. */
  void attemptStarted() {
    attempts++;
  }

  /** A request has got its complete answer. */
  void requestCompleted() {
    completed++;
  }

  /** The router has rejected a request. */
  void requestRejected() {
    rejected++;
  }

  /** The router has given up a request. */
  void requestFailed() {
    failed++;
  }

  /** The stream of a request has broken. */
  void requestInterrupted() {
    interrupted++;
  }

  /** A client has cancelled a request. */
  void requestCancelled() {
    cancelled++;
  }

  /** A reserved state was released unused. */
  void stateReleased() {
    releases++;
  }

  DispatchCounts snapshot() {
    return new DispatchCounts(
        requests, attempts, completed, rejected, failed, interrupted, cancelled, releases);
  }
}
