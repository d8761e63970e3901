package lemondock.policy;

/** Where a session's earlier turns were read, and how much of them that server has cached. */
record SessionEntry(long serverId, int cachedTokens, long usedAtMicros) {}
