package lemondock.dispatch;

/** The running counts behind {@link DispatchCounts}. Loop thread only. */
final class DispatchCounters {
  long requests;
  long attempts;
  long completed;
  long rejected;
  long failed;
  long interrupted;
  long cancelled;
  long releases;

  DispatchCounts snapshot() {
    return new DispatchCounts(
        requests, attempts, completed, rejected, failed, interrupted, cancelled, releases);
  }
}
