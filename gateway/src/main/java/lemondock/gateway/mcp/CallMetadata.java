package lemondock.gateway.mcp;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Metadata that a client sends with a {@code tools/call} in its {@code _meta} object.
 *
 * @param idempotencyKey the client's name for the call and all its retries
 * @param tenant the tenant that the client claims to call for; only used to label a row of the
 *     reports, since tenants are not authenticated yet
 * @param clientRetry whether the client declares the call a retry
 * @param progressToken token of the progress notifications; none are sent without one
 */
record CallMetadata(
    Optional<String> idempotencyKey,
    Optional<String> tenant,
    boolean clientRetry,
    Optional<JsonNode> progressToken) {
  private static final String KEY_FIELD = "lemondock/key";
  private static final String TENANT_FIELD = "lemondock/tenant";
  private static final String RETRY_FIELD = "lemondock/retry";
  private static final String PROGRESS_TOKEN_FIELD = "progressToken";
  private static final int MAX_KEY_LENGTH = 200;

  /** Reads the metadata of a call's parameters, which {@link #problem} validates. */
  static CallMetadata of(JsonNode params) {
    JsonNode metadata = params.path("_meta");
    return new CallMetadata(
        Optional.ofNullable(metadata.path(KEY_FIELD).asText(null)),
        Optional.ofNullable(metadata.path(TENANT_FIELD).asText(null)),
        metadata.path(RETRY_FIELD).asBoolean(false),
        Optional.ofNullable(metadata.get(PROGRESS_TOKEN_FIELD)));
  }

  /** Validates the metadata of a call's parameters; returns the problem, empty if valid. */
  static Optional<String> problem(JsonNode params) {
    JsonNode metadata = params.path("_meta");
    JsonNode key = metadata.get(KEY_FIELD);
    if (key != null && !isKey(key)) {
      return Optional.of(
          "/_meta/lemondock~1key: expected a text of 1 to " + MAX_KEY_LENGTH + " characters");
    }
    JsonNode progress = metadata.get(PROGRESS_TOKEN_FIELD);
    if (progress != null && !progress.isTextual() && !progress.isIntegralNumber()) {
      return Optional.of("/_meta/progressToken: expected a string or a whole number");
    }
    return Optional.empty();
  }

  private static boolean isKey(JsonNode key) {
    return key.isTextual()
        && !key.textValue().isEmpty()
        && key.textValue().length() <= MAX_KEY_LENGTH;
  }
}
