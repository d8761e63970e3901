package lemondock.policy;

/**
 * Where a session's earlier turns were read.
 *
 * @param serverId the server that read them last
 * @param cachedTokens tokens that it has cached of them
 * @param usedAtMicros when that was
 */
record SessionEntry(long serverId, int cachedTokens, long usedAtMicros) {}
