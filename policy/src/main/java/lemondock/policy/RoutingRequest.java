package lemondock.policy;

/** One request; hint is the expected time of writing at the class's token aim, 0 if not told. */
public record RoutingRequest(
    long id,
    int classId,
    int tenant,
    long session,
    long prefix,
    int promptTokens,
    int prefixTokens,
    int maxAnswerTokens,
    long patience,
    long hint,
    boolean clientRepeat,
    boolean resumed) {}
