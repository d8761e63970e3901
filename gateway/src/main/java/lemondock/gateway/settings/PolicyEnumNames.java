package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.json.JsonMapper;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.Idempotency;
import lemondock.policy.ServerRole;

/**
 * The values in settings files of enums that belong to the decision module, which knows nothing of
 * JSON: a mix-in for each of them, with constants of the same names.
 */
final class PolicyEnumNames {
  private PolicyEnumNames() {}

  /** Has a mapper read the enums by these values. */
  static JsonMapper.Builder register(JsonMapper.Builder mapper) {
    return mapper
        .addMixIn(Idempotency.class, IdempotencyNames.class)
        .addMixIn(DeduplicationScope.class, DeduplicationScopeNames.class)
        .addMixIn(ServerRole.class, ServerRoleNames.class);
  }

  private enum IdempotencyNames {
    @JsonProperty("safe")
    IDEMPOTENT,
    @JsonProperty("keyed")
    IDEMPOTENCY_KEY,
    @JsonProperty("once")
    NON_IDEMPOTENT
  }

  private enum DeduplicationScopeNames {
    @JsonProperty("all")
    ALL,
    @JsonProperty("zone")
    ZONE,
    @JsonProperty("rack")
    CELL
  }

  private enum ServerRoleNames {
    @JsonProperty("reader")
    READER,
    @JsonProperty("writer")
    WRITER,
    @JsonProperty("mixed")
    MIXED
  }
}
