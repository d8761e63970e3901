package lemondock.policy;

/**
 * The attributes of a client's request that matter for routing.
 *
 * @param id id of the request, unique for the lifetime of this gateway
 * @param classId index into {@link RouterSettings#classes}
 * @param tenantId index into {@link RouterSettings#tenants}
 * @param sessionId id of the session, whose requests share their earlier turns; 0 for none
 * @param prefixId id of the prefix, the text with which the prompt begins; 0 for none
 * @param promptTokens length of the whole prompt
 * @param prefixTokens length of the prefix
 * @param maxAnswerTokens maximum length of the answer
 * @param clientTimeoutMicros how long the client waits for the first token
 * @param expectedWriteMicros expected time of writing the answer at the class's token interval; 0
 *     if unknown
 * @param clientRetry whether the client has sent the request before
 * @param resumed whether the request resumes a broken stream
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

  /** Returns a builder whose components are 0 or false until set. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link RoutingRequest}; not thread-safe. */
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

    /** Sets the id of the request, unique for the lifetime of this gateway. */
    public Builder id(long value) {
      id = value;
      return this;
    }

    /** Sets the index into {@link RouterSettings#classes}. */
    public Builder classId(int value) {
      classId = value;
      return this;
    }

    /** Sets the index into {@link RouterSettings#tenants}. */
    public Builder tenantId(int value) {
      tenantId = value;
      return this;
    }

    /** Sets the id of the session, whose requests share their earlier turns; 0 for none. */
    public Builder sessionId(long value) {
      sessionId = value;
      return this;
    }

    /** Sets the id of the prefix, the text with which the prompt begins; 0 for none. */
    public Builder prefixId(long value) {
      prefixId = value;
      return this;
    }

    /** Sets the length of the whole prompt. */
    public Builder promptTokens(int value) {
      promptTokens = value;
      return this;
    }

    /** Sets the length of the prefix. */
    public Builder prefixTokens(int value) {
      prefixTokens = value;
      return this;
    }

    /** Sets the maximum length of the answer. */
    public Builder maxAnswerTokens(int value) {
      maxAnswerTokens = value;
      return this;
    }

    /** Sets how long the client waits for the first token. */
    public Builder clientTimeoutMicros(long value) {
      clientTimeoutMicros = value;
      return this;
    }

    /** Sets the expected time of writing the answer at the class's token interval; 0 if unknown. */
    public Builder expectedWriteMicros(long value) {
      expectedWriteMicros = value;
      return this;
    }

    /** Sets whether the client has sent the request before. */
    public Builder clientRetry(boolean value) {
      clientRetry = value;
      return this;
    }

    /** Sets whether the request resumes a broken stream. */
    public Builder resumed(boolean value) {
      resumed = value;
      return this;
    }

    /** Builds the {@link RoutingRequest}. */
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
