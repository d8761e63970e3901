package lemondock.policy;

/**
 * One request of a client.
 *
 * @param id its number, never used again by this gateway
 * @param classId index into {@link RouterSettings#classes}
 * @param tenantId index into {@link RouterSettings#tenants}
 * @param sessionId requests of one session share their earlier turns; 0 for none
 * @param prefixId requests of one prefix begin with the same text; 0 for none
 * @param promptTokens tokens of the whole prompt
 * @param prefixTokens tokens of the text that the prefix stands for
 * @param maxAnswerTokens longest answer that the client takes
 * @param clientTimeoutMicros how long the client waits for the first token
 * @param expectedWriteMicros expected time of writing the answer at the class's token interval; 0
 *     if not told
 * @param clientRetry whether the client has sent the request before
 * @param resumed whether it goes on with a stream that broke
 */
public record RoutingRequest(
    long id,
    int classId,
    int tenantId,
    long sessionId,
    long prefixId,
    int promptTokens,
    int prefixTokens,
    int maxAnswerTokens,
    long clientTimeoutMicros,
    long expectedWriteMicros,
    boolean clientRetry,
    boolean resumed) {

  /** Begins one; what is not set is 0 or false. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of a {@link RoutingRequest}. For one thread. */
  public static final class Builder {
    private long id;
    private int classId;
    private int tenantId;
    private long sessionId;
    private long prefixId;
    private int promptTokens;
    private int prefixTokens;
    private int maxAnswerTokens;
    private long clientTimeoutMicros;
    private long expectedWriteMicros;
    private boolean clientRetry;
    private boolean resumed;

    private Builder() {}

    /** Its number, never used again by this gateway. */
    public Builder id(long value) {
      id = value;
      return this;
    }

    /** Index into {@link RouterSettings#classes}. */
    public Builder classId(int value) {
      classId = value;
      return this;
    }

    /** Index into {@link RouterSettings#tenants}. */
    public Builder tenantId(int value) {
      tenantId = value;
      return this;
    }

    /** Requests of one session share their earlier turns; 0 for none. */
    public Builder sessionId(long value) {
      sessionId = value;
      return this;
    }

    /** Requests of one prefix begin with the same text; 0 for none. */
    public Builder prefixId(long value) {
      prefixId = value;
      return this;
    }

    /** Tokens of the whole prompt. */
    public Builder promptTokens(int value) {
      promptTokens = value;
      return this;
    }

    /** Tokens of the text that the prefix stands for. */
    public Builder prefixTokens(int value) {
      prefixTokens = value;
      return this;
    }

    /** Longest answer that the client takes. */
    public Builder maxAnswerTokens(int value) {
      maxAnswerTokens = value;
      return this;
    }

    /** How long the client waits for the first token. */
    public Builder clientTimeoutMicros(long value) {
      clientTimeoutMicros = value;
      return this;
    }

    /** Expected time of writing the answer at the class's token interval; 0 if not told. */
    public Builder expectedWriteMicros(long value) {
      expectedWriteMicros = value;
      return this;
    }

    /** Whether the client has sent the request before. */
    public Builder clientRetry(boolean value) {
      clientRetry = value;
      return this;
    }

    /** Whether it goes on with a stream that broke. */
    public Builder resumed(boolean value) {
      resumed = value;
      return this;
    }

    /** The {@link RoutingRequest}. */
    public RoutingRequest build() {
      return new RoutingRequest(
          id,
          classId,
          tenantId,
          sessionId,
          prefixId,
          promptTokens,
          prefixTokens,
          maxAnswerTokens,
          clientTimeoutMicros,
          expectedWriteMicros,
          clientRetry,
          resumed);
    }
  }
}
