package lemondock.net.http;

/** Why a request brought no complete response. */
public enum RequestFailure {
  /**
   * The last byte of the request was not handed to the system: the server provably never had all of
   * it.
   */
  NOT_SENT,
  /**
   * Not sent either, and the cause lies on this side: the bound on connections, file handles or
   * ports.
   */
  LOCAL_LIMIT_REACHED,
  /** The connection broke; the server may have seen the request. */
  CONNECTION_LOST,
  /** The response does not follow the protocol; its connection was aborted. */
  MALFORMED
}
