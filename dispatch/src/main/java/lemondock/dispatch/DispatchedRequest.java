package lemondock.dispatch;

/**
 * A request as it is handed to the dispatcher. Made by a {@link Builder}. Immutable if its prompt
 * is.
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
    P prompt) {

  /** Begins a request with that prompt; what is not set is 0 or false. */
  public static <P> Builder<P> builder(P prompt) {
    return new Builder<>(prompt);
  }

  /** Collects the attributes of a request. For one thread. */
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

    /** Number of the tenant; 0 if the request names none. */
    public Builder<P> tenant(int value) {
      tenant = value;
      return this;
    }

    /** Hash of the conversation; all requests of a conversation share it. */
    public Builder<P> sessionKey(long value) {
      sessionKey = value;
      return this;
    }

    /** The prompt's opening that other prompts share: its hash, 0 if there is none, and tokens. */
    public Builder<P> prefix(long key, int tokens) {
      prefixKey = key;
      prefixTokens = tokens;
      return this;
    }

    /** Tokens of the whole prompt. */
    public Builder<P> promptTokens(int value) {
      promptTokens = value;
      return this;
    }

    /** Tokens that the answer may have at most. */
    public Builder<P> maxAnswerTokens(int value) {
      maxAnswerTokens = value;
      return this;
    }

    /** Time from now within which the first token must come. */
    public Builder<P> firstTokenTimeoutMicros(long value) {
      firstTokenTimeoutMicros = value;
      return this;
    }

    /** Whether the client repeats a request that failed before. */
    public Builder<P> clientRetry(boolean value) {
      clientRetry = value;
      return this;
    }

    /** Whether it continues an answer whose stream broke. */
    public Builder<P> resumed(boolean value) {
      resumed = value;
      return this;
    }

    /**
     * The I/O shard of the client's connection; the engine's connection is best on the same one.
     */
    public Builder<P> clientShard(int value) {
      clientShard = value;
      return this;
    }

    /** The request. */
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
