package lemondock.policy;

/**
 * One server as the endpoint list has it.
 *
 * @param kind index into {@link RouterSettings#serverKinds}
 * @param weight its part of the load, 1 for an ordinary server
 * @param startedAtMicros when its process started, on the events' clock; 0 for long ago
 */
public record ServerEntry(
    long id,
    int zone,
    int kind,
    int cell,
    ServerLifecycle lifecycle,
    double weight,
    long startedAtMicros) {}
