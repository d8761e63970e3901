package lemondock.dispatch;

/**
 * What is asked for.
 *
 * @param session the key of the conversation; its legs share it
 * @param prefix the key of the opening that the prompt shares with others, 0 if none
 * @param prefixTokens tokens of that opening
 * @param patience microseconds from now within which the first token must come
 * @param resumed whether it goes on with an answer that broke
 * @param shard of the client's connection: the writer's is best there too
 * @param prompt what the engine gets
 * @param <P> its form
 */
public record DispatchedRequest<P>(
    int classId,
    int tenant,
    long session,
    long prefix,
    int promptTokens,
    int prefixTokens,
    int maxTokens,
    long patience,
    boolean clientRepeat,
    boolean resumed,
    int shard,
    P prompt) {}
