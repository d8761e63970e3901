package lemondock.dispatch;

/** Mutable counters of a dispatcher, read as {@link DispatchCounts}. Loop thread only. */
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

  /** The router has requested an attempt. */
  void attemptStarted() {
    attempts++;
  }

  /** The answer of a request is complete. */
  void requestCompleted() {
    completed++;
  }

  /** The router has rejected a request. */
  void requestRejected() {
    rejected++;
  }

  /** A request has failed before its first event. */
  void requestFailed() {
    failed++;
  }

  /** The output stream of a request was interrupted. */
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
