package lemondock.policy;

/**
 * One kind of server.
 *
 * @param role what such servers can do
 * @param memoryTokens tokens that one server can hold at a time; 0 if not told
 */
public record ServerKind(ServerRole role, long memoryTokens) {}
