package lemondock.net.http;

import lemondock.net.Loop;

/** The time limits on the requests that a client sends on one connection. Loop thread only. */
final class RequestTimeouts {
  /**
   * Time from the rejection of an incomplete request, for lack of memory, to its end. If it ends in
   * time its connection is kept, since many clients would send their next request on it.
   */
  private static final long REJECTED_REQUEST_TIMEOUT_MICROS = 1_000_000;

  private final Loop loop;
  private final HttpServerOptions options;
  private final Listener listener;

  /** Whether a request has begun that is not complete. */
  private boolean requestIncomplete;

  /** Whether that request is rejected already, for lack of memory. */
  private boolean requestRejected;

  /** The limit of an incomplete request, or of the time without one. */
  private Loop.Timer requestTimer = () -> {};

  private Loop.Timer firstRequestTimer = () -> {};
  private Loop.Timer rejectionTimer = () -> {};

  /** Is told of limits that were exceeded. */
  interface Listener {
    /** The first request did not come in time. */
    void noRequestCame(InputError error);

    /** A request was not complete in time. */
    void requestLate(InputError error);

    /** The connection had no request for too long. */
    void unusedTooLong();
  }

  RequestTimeouts(Loop loop, HttpServerOptions options, Listener listener) {
    this.loop = loop;
    this.options = options;
    this.listener = listener;
  }

  /** Limits the time until the first request is complete. */
  void awaitFirstRequest() {
    firstRequestTimer =
        loop.schedule(
            options.firstRequestTimeoutMicros(),
            () -> listener.noRequestCame(error(CloseReason.NO_REQUEST, "no request came")));
  }

  /** Limits the time without a request. */
  void awaitNextRequest() {
    requestTimer.cancel();
    requestTimer = loop.schedule(options.idleTimeoutMicros(), listener::unusedTooLong);
  }

  /** Limits the time of a request that has begun. */
  void requestBegan() {
    requestIncomplete = true;
    requestTimer.cancel();
    requestTimer = loop.schedule(options.requestTimeoutMicros(), this::endLateRequest);
  }

  /** Limits the time in which a request that was rejected for lack of memory has to end. */
  void requestRejected() {
    requestRejected = true;
    rejectionTimer = loop.schedule(REJECTED_REQUEST_TIMEOUT_MICROS, this::endLateRequest);
  }

  private void endLateRequest() {
    listener.requestLate(error(CloseReason.REQUEST_TIMEOUT, "the request took too long"));
  }

  private InputError error(CloseReason reason, String text) {
    return requestRejected
        ? new InputError(reason, 503, StandardResponses.NO_MEMORY_TEXT)
        : new InputError(reason, 408, text);
  }

  /** Ends all limits, because the request is complete. */
  void requestComplete() {
    requestIncomplete = false;
    requestRejected = false;
    stop();
  }

  boolean isRequestIncomplete() {
    return requestIncomplete;
  }

  /** Ends all limits. */
  void stop() {
    firstRequestTimer.cancel();
    requestTimer.cancel();
    rejectionTimer.cancel();
  }
}
