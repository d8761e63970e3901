package lemondock.dispatch;

/**
 * A request as it is handed to the dispatcher.
 *
 * @param classId index of the request's class in the settings
 * @param tenant number of the tenant, 0 if the request names none
 * @param sessionKey hash of the conversation; all requests of a conversation share it
 * @param prefixKey hash of the prompt's opening that other prompts share, 0 if there is none
 * @param promptTokens tokens of the whole prompt
 * @param prefixTokens tokens of that opening
 * @param maxAnswerTokens tokens that the answer may have at most
 * @param firstTokenTimeoutMicros time from now within which the first token must come
 * @param clientRetry whether the client repeats a request that failed before
 * @param resumed whether it continues an answer whose stream broke
 * @param clientShard the I/O shard of the client's connection; the engine's connection is best on
 *     the same one
 * @param prompt what the engine gets
 * @param <P> type of the prompt
 */
public record DispatchedRequest<P>(
    int classId,
    int tenant,
    long sessionKey,
    long prefixKey,
    int promptTokens,
    int prefixTokens,
    int maxAnswerTokens,
    long firstTokenTimeoutMicros,
    boolean clientRetry,
    boolean resumed,
    int clientShard,
    P prompt) {}
