package lemondock.net.http;

/** One request of an {@link HttpClient} until its response has ended. Loop thread only. */
public final class HttpCall {
  private final ResponseReceiver receiver;

  // Loop thread only, each from here on:
  /** The connection that carries it or comes up for it; null if it has none. */
  private ClientConnection connection;

  /** Nothing more is told to the receiver. */
  private boolean ended;

  /** Set on the loop, read on any thread. */
  private volatile boolean paused;

  HttpCall(ResponseReceiver receiver) {
    this.receiver = receiver;
  }

  /** Reads no more until {@link #resume}; what was read already still comes. */
  public void pause() {
    paused = true;
  }

  /** Reads on. */
  public void resume() {
    if (paused) {
      paused = false;
      if (connection != null && !ended) {
        connection.resumeReading();
      }
    }
  }

  /**
   * Aborts the connection; the receiver hears nothing more.
   *
   * @return false if the call had ended before
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
