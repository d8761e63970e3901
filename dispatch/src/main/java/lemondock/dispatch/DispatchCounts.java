package lemondock.dispatch;

/**
 * A snapshot of what a dispatcher has counted since its start, for logs and comparison with what
 * clients and servers count.
 *
 * @param requests requests submitted
 * @param attempts attempts that the router asked for
 * @param completed requests with a complete answer
 * @param rejected requests rejected without effect
 * @param failed requests failed before their first event
 * @param interrupted requests whose stream broke
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
