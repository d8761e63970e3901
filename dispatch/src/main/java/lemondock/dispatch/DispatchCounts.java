package lemondock.dispatch;

/**
 * A snapshot of a dispatcher's counters since its start, for logs and for comparison with the
 * counts of clients and servers.
 *
 * @param requests requests submitted
 * @param attempts attempts that the router requested
 * @param completed requests with a complete answer
 * @param rejected requests rejected without effect
 * @param failed requests failed before their first event
 * @param interrupted requests whose output stream was interrupted
 * @param cancelled requests cancelled by their clients
 * @param releases reserved states that were released unused
 */
public record DispatchCounts(
    long requests,
    long attempts,
    long completed,
    long rejected,
    long failed,
    long interrupted,
    long cancelled,
    long releases) {}
