package lemondock.policy;

/**
 * The server that last read a session's prompt.
 *
 * @param serverId id of that server
 * @param cachedTokens tokens of the session that it has cached
 * @param usedAtMicros when it read them
 */
record SessionEntry(long serverId, int cachedTokens, long usedAtMicros) {}
