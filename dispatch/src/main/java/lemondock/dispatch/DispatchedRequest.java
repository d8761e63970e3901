package lemondock.dispatch;

/**
 * A request that is submitted to the dispatcher, created by a {@link Builder}. Immutable if the
 * prompt is.
 *
 * @param classId index of the request's class in the settings
 * @param tenant number of the tenant, 0 if the request specifies none
 * @param sessionKey hash of the conversation; all requests of a conversation share it; 0 if unknown
 * @param prefixKey hash of the prompt's shared prefix, 0 if there is none
 * @param promptTokens number of tokens of the whole prompt
 * @param prefixTokens number of tokens of the shared prefix
 * @param maxAnswerTokens maximum number of tokens of the answer
 * @param firstTokenTimeoutMicros time after submission within which the first token must arrive
 * @param clientRetry whether the client retries a request that failed earlier
 * @param resumed whether the request continues an answer whose stream was interrupted
 * @param clientShard the I/O shard of the client's connection; the engine's connection should
 *     preferably use the same shard
 * @param prompt the prompt that is sent to the engine
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
    P prompt) {

  /**
   * Returns a builder for a request with this prompt; attributes that are not set are 0 or false.
   */
  public static <P> Builder<P> builder(P prompt) {
    return new Builder<>(prompt);
  }

  /** Collects the attributes of a request. Not thread-safe. */
  public static final class Builder<P> {
    private final P prompt;
    private int classId;
    private int tenant;
    private long sessionKey;
    private long prefixKey;
    private int promptTokens;
    private int prefixTokens;
    private int maxAnswerTokens;
    private long firstTokenTimeoutMicros;
    private boolean clientRetry;
    private boolean resumed;
    private int clientShard;

    private Builder(P prompt) {
      this.prompt = prompt;
    }

    /** Index of the request's class in the settings. */
    public Builder<P> classId(int value) {
      classId = value;
      return this;
    }

    /** Number of the tenant; 0 if the request specifies none. */
    public Builder<P> tenant(int value) {
      tenant = value;
      return this;
    }

    /** Hash of the conversation; all requests of a conversation share it; 0 if unknown. */
    public Builder<P> sessionKey(long value) {
      sessionKey = value;
      return this;
    }

    /** Hash of the prompt's shared prefix, 0 if there is none, and its number of tokens. */
    public Builder<P> prefix(long key, int tokens) {
      prefixKey = key;
      prefixTokens = tokens;
      return this;
    }

    /** Number of tokens of the whole prompt. */
    public Builder<P> promptTokens(int value) {
      promptTokens = value;
      return this;
    }

    /** Maximum number of tokens of the answer. */
    public Builder<P> maxAnswerTokens(int value) {
      maxAnswerTokens = value;
      return this;
    }

    /** Time after submission within which the first token must arrive. */
    public Builder<P> firstTokenTimeoutMicros(long value) {
      firstTokenTimeoutMicros = value;
      return this;
    }

    /** Whether the client retries a request that failed earlier. */
    public Builder<P> clientRetry(boolean value) {
      clientRetry = value;
      return this;
    }

    /** Whether the request continues an answer whose stream was interrupted. */
    public Builder<P> resumed(boolean value) {
      resumed = value;
      return this;
    }

    /**
     * I/O shard of the client's connection; the engine's connection should preferably use the same
     * shard.
     */
    public Builder<P> clientShard(int value) {
      clientShard = value;
      return this;
    }

    /** Returns the request. */
    public DispatchedRequest<P> build() {
      return new DispatchedRequest<>(
          classId,
          tenant,
          sessionKey,
          prefixKey,
          promptTokens,
          prefixTokens,
          maxAnswerTokens,
          firstTokenTimeoutMicros,
          clientRetry,
          resumed,
          clientShard,
          prompt);
    }
  }
}
