package lemondock.policy;

/** One kind of server; memory in tokens, 0 if not told. */
public record ServerKind(ServerRole role, long memoryTokens) {}
