package lemondock.net.http;

/**
 * Limits and timeouts of an {@link HttpClient}; times in microseconds.
 *
 * @param limits size limits of accepted responses
 * @param maxEventBytes maximum bytes of one event of an event stream
 * @param maxConnectionsPerAddress maximum connections to one address at a time; a request that
 *     needs another one fails without being sent
 * @param connectTimeoutMicros time limit for establishing a connection
 * @param idleTimeoutMicros time after which an idle connection is closed
 * @param maxConnections maximum connections to all addresses together; when it is reached, the
 *     connection that has been idle longest is closed to make room for a new one
 * @param reuseDelayMicros time after a response until its connection is reused, if its socket has
 *     no input then: surplus bytes that a server sends late would otherwise be taken for the next
 *     response
 */
public record HttpClientOptions(
    HttpLimits limits,
    int maxEventBytes,
    int maxConnectionsPerAddress,
    long connectTimeoutMicros,
    long idleTimeoutMicros,
    int maxConnections,
    long reuseDelayMicros) {

  /**
   * Options without a limit on the total number of connections and without a reuse delay, for
   * servers that follow the protocol.
   */
  public HttpClientOptions(
      HttpLimits limits,
      int maxEventBytes,
      int maxConnectionsPerAddress,
      long connectTimeoutMicros,
      long idleTimeoutMicros) {
    this(
        limits,
        maxEventBytes,
        maxConnectionsPerAddress,
        connectTimeoutMicros,
        idleTimeoutMicros,
        Integer.MAX_VALUE,
        0);
  }

  /** The same options with another limit on the total number of connections. */
  public HttpClientOptions withMaxConnections(int newMaxConnections) {
    return new HttpClientOptions(
        limits,
        maxEventBytes,
        maxConnectionsPerAddress,
        connectTimeoutMicros,
        idleTimeoutMicros,
        newMaxConnections,
        reuseDelayMicros);
  }

  /** The same options with another delay before a connection is reused. */
  public HttpClientOptions withReuseDelayMicros(long newReuseDelayMicros) {
    return new HttpClientOptions(
        limits,
        maxEventBytes,
        maxConnectionsPerAddress,
        connectTimeoutMicros,
        idleTimeoutMicros,
        maxConnections,
        newReuseDelayMicros);
  }
}
