package lemondock.policy;

/** One server as listed; startedAt 0 means long ago. */
public record ServerEntry(
    long id,
    int zone,
    int kind,
    int cell,
    ServerLifecycle lifecycle,
    double weight,
    long startedAtMicros) {}
