package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.json.JsonMapper;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.Idempotency;
import lemondock.policy.ServerRole;

/**
 * Maps enums of the policy module, which does not depend on a JSON library, to their values in
 * settings files. Each enum has a Jackson mix-in with constants of the same names.
 */
final class PolicyEnumNames {
  private PolicyEnumNames() {}

  /** Registers the mix-ins with a mapper. */
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
