package lemondock.net.http;

/**
 * One request of an {@link HttpClient}, from sending to the end of its response. Loop thread only.
 */
public final class HttpCall {
  private final ResponseReceiver receiver;

  // All fields below: loop thread only, except where stated.
  /** The connection that carries the call or is being opened for it; null if there is none. */
  private ClientConnection connection;

  /** Whether the receiver gets no further notification. */
  private boolean ended;

  /** Set on the loop, read on any thread. */
  private volatile boolean paused;

  HttpCall(ResponseReceiver receiver) {
    this.receiver = receiver;
  }

  /** Stops reading until {@link #resume}; bytes that were already read are still delivered. */
  public void pause() {
    paused = true;
  }

  /** Resumes reading after {@link #pause}. */
  public void resume() {
    if (paused) {
      paused = false;
      if (connection != null && !ended) {
        connection.resumeReading();
      }
    }
  }

  /**
   * Aborts the connection; the receiver gets no further notification.
   *
   * @return false if the call had already ended
   */
  public boolean cancel() {
    if (ended) {
      return false;
    }
    ended = true;
    if (connection != null) {
      connection.cancelCall();
    }
    return true;
  }

  ResponseReceiver receiver() {
    return receiver;
  }

  boolean isPaused() {
    return paused;
  }

  void setConnection(ClientConnection carrier) {
    connection = carrier;
  }

  void markEnded() {
    ended = true;
  }

  void fail(RequestFailure failure, String reason) {
    if (!ended) {
      ended = true;
      receiver.onFailure(failure, reason);
    }
  }
}
