package lemondock.policy;

import java.util.List;
import java.util.function.Predicate;

/**
 * Which servers a request may go to. Guards rule 3 (nothing new to servers that drain or are gone)
 * and rule 4 (servers in slow start are not pushed over): every attempt goes to a server that was
 * chosen among the candidates of this class.
 */
final class ServerEligibility {
  private final ServerModel servers;
  private final RetryPolicy retryPolicy;

  ServerEligibility(ServerModel servers, RetryPolicy retryPolicy) {
    this.servers = servers;
    this.retryPolicy = retryPolicy;
  }

  /** Servers that may read the request's prompt now. */
  List<ServerState> readers(InFlightRequest request) {
    return candidates(request, servers.table().readers());
  }

  /** Servers that may write the request's answer now. */
  List<ServerState> writers(InFlightRequest request) {
    return candidates(request, servers.table().writers());
  }

  /** Ready servers that may take the request; those healthy and not yet failed, if any are. */
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

  /** The servers that pass the test, or all where none does. */
  static List<ServerState> preferIfAny(List<ServerState> from, Predicate<ServerState> test) {
    List<ServerState> passing = from.stream().filter(test).toList();
    return passing.isEmpty() ? from : passing;
  }
}
