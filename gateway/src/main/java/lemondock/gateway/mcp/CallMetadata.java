package lemondock.gateway.mcp;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * What a client says of a {@code tools/call} in its {@code _meta} object.
 *
 * @param idempotencyKey the client's name for the call and all its repeats
 * @param tenant whom the client says it calls for; it only names a row of the reports until tenants
 *     prove who they are
 * @param clientRetry whether the client says that it repeats a call
 * @param progressToken what the notifications of progress are to be marked with; without one there
 *     are none
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

  /** Reads the metadata of a call's parameters, see {@link #problem}. */
  static CallMetadata of(JsonNode params) {
    JsonNode metadata = params.path("_meta");
    return new CallMetadata(
        Optional.ofNullable(metadata.path(KEY_FIELD).asText(null)),
        Optional.ofNullable(metadata.path(TENANT_FIELD).asText(null)),
        metadata.path(RETRY_FIELD).asBoolean(false),
        Optional.ofNullable(metadata.get(PROGRESS_TOKEN_FIELD)));
  }

  /** What is wrong with the metadata of a call's parameters, if anything is. */
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
