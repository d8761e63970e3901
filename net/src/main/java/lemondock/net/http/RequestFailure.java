package lemondock.net.http;

/** Why a request did not get a complete response. */
public enum RequestFailure {
  /**
   * The last byte of the request was not passed to the operating system, so the server cannot have
   * received the complete request.
   */
  NOT_SENT,
  /**
   * The request was not sent because a local limit was reached: connections, file handles or ports.
   */
  LOCAL_LIMIT_REACHED,
  /**
   * The last byte of the request was not sent because the latest time for it had passed, or because
   * the socket did not accept it at once.
   */
  SEND_LIMIT_EXCEEDED,
  /** The connection was lost; the server may have received the request. */
  CONNECTION_LOST,
  /** The response violates the protocol; its connection was aborted. */
  MALFORMED
}
