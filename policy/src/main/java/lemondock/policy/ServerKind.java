package lemondock.policy;

/**
 * A kind of server, shared by many servers of the endpoint list.
 *
 * @param role whether its servers read prompts, write answers or do both
 * @param memoryTokens tokens that one server can hold at a time; 0 if unknown
 */
public record ServerKind(ServerRole role, long memoryTokens) {}
