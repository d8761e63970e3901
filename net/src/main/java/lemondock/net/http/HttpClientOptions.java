package lemondock.net.http;

/**
 * What an {@link HttpClient} does; times in microseconds.
 *
 * @param limits sizes of the responses that are accepted
 * @param maxEventBytes bytes of one event of an event stream
 * @param maxConnectionsPerAddress connections to one address at a time; a request beyond it fails
 *     unsent
 * @param connectTimeoutMicros time for a connection to come up
 * @param idleTimeoutMicros time after which an unused connection is closed
 * @param maxConnections connections to all addresses together; the one unused for longest makes
 *     room for another
 * @param reuseDelayMicros time without a byte after a response until its connection is used again:
 *     a server that sends more than it was asked for would be taken to answer the next request
 */
public record HttpClientOptions(
    HttpLimits limits,
    int maxEventBytes,
    int maxConnectionsPerAddress,
    long connectTimeoutMicros,
    long idleTimeoutMicros,
    int maxConnections,
    long reuseDelayMicros) {

  /** Options without a bound on all connections together, for servers that keep to the protocol. */
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

  /** The same options with another bound on all connections together. */
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

  /** The same options with another delay before a connection is used again. */
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
