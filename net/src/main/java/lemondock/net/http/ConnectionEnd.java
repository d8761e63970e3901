package lemondock.net.http;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The end of a connection of an {@link HttpServer}.
 *
 * @param client address of the client; null if it is unknown
 * @param detail what the reason leaves open, such as the message of an error; may be empty
 * @param unanswered the request in progress; empty if its response was complete or there was none
 * @param waitingRequests requests that were received completely and not served yet
 * @param sentBytes bytes that the operating system accepted on this connection
 */
public record ConnectionEnd(
    InetSocketAddress client,
    CloseReason reason,
    String detail,
    Optional<HttpRequest> unanswered,
    int waitingRequests,
    long sentBytes) {

  /** Whether a complete request had no complete response. */
  public boolean leavesRequestUnanswered() {
    return unanswered.isPresent() || waitingRequests > 0;
  }
}
