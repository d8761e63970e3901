package lemondock.policy;

import java.util.List;
import java.util.function.Predicate;

/**
 * Determines which servers a request may be sent to. Enforces rule 3 (nothing new is sent to
 * servers that are draining or gone) and rule 4 (servers in slow start are not overloaded): every
 * attempt goes to a server that was selected from the candidates of this class.
 */
final class ServerEligibility {
  private final ServerModel servers;
  private final RetryPolicy retryPolicy;

  ServerEligibility(ServerModel servers, RetryPolicy retryPolicy) {
    this.servers = servers;
    this.retryPolicy = retryPolicy;
  }

  /** Servers that may read the request's prompt now, mixed ones included. */
  List<ServerState> readers(InFlightRequest request) {
    return candidates(request, servers.table().readers());
  }

  /** Servers that may write the request's answer now, mixed ones included. */
  List<ServerState> writers(InFlightRequest request) {
    return candidates(request, servers.table().writers());
  }

  /**
   * Ready servers that may receive the request. Prefers healthy servers and those where the request
   * has not failed yet, if there are any.
   */
  private List<ServerState> candidates(InFlightRequest request, List<ServerState> ready) {
    List<ServerState> allowed =
        ready.stream()
            .filter(server -> mayReceive(server) && retryPolicy.mayRepeat(request, server))
            .toList();
    List<ServerState> healthy = preferIfAny(allowed, servers.outliers()::isHealthy);
    return preferIfAny(healthy, server -> !request.hasFailedAt(server));
  }

  private boolean mayReceive(ServerState server) {
    return server.isReady() && servers.slowStart().hasCredit(server);
  }

  /** The servers that match the predicate, or all of them if none does. */
  static List<ServerState> preferIfAny(
      List<ServerState> candidates, Predicate<ServerState> predicate) {
    List<ServerState> matching = candidates.stream().filter(predicate).toList();
    return matching.isEmpty() ? candidates : matching;
  }
}
