package lemondock.net.http;

/** Why a connection of an {@link HttpServer} has ended. */
public enum CloseReason {
  /** The client closed the connection, or ended its sending. */
  CLIENT_CLOSED,
  /** A read or write failed, or the client reset the connection. */
  CONNECTION_FAILED,
  /** The last response said that the connection closes. */
  RESPONSE_COMPLETE,
  /** No request came within the time allowed after the connection was opened. */
  NO_REQUEST,
  /** No further request came within the idle time-out. */
  IDLE_TIMEOUT,
  /** The server shuts down and no request was in progress. */
  DRAINING,
  /** The connection made room for a new one; no client was owed a response on it. */
  EVICTED,
  /** The request was rejected because clients are owed responses on all other connections. */
  REJECTED_AT_LIMIT,
  /** A request was not complete in time. */
  REQUEST_TIMEOUT,
  /** The input is no valid request, or exceeds a limit. */
  MALFORMED_REQUEST,
  /** The client sent more requests at once than are queued; the excess ones were rejected. */
  EXCESS_REQUESTS,
  /** The client read nothing of its response for too long. */
  WRITE_STALLED,
  /** The service ended a streamed response before its end. */
  RESPONSE_TRUNCATED,
  /** The service aborted the exchange. */
  EXCHANGE_ABORTED,
  /** The service failed to prepare a request. */
  PREPARATION_FAILED
}
