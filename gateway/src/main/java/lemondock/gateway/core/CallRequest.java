package lemondock.gateway.core;

import java.util.Optional;
import lemondock.gateway.answer.Prompt;

/**
 * A call as requested by a client.
 *
 * @param sessionKey hash of the conversation, see {@link CallService#sessionKey}
 * @param tenant the tenant, used for metrics only
 * @param clientRetry whether the client marked the call as a retry
 * @param idempotencyKey the key that the client uses for this call and its retries; it has already
 *     been checked with {@link CallService#blockingStatus}
 */
public record CallRequest(
    Prompt prompt,
    long sessionKey,
    Optional<String> tenant,
    boolean clientRetry,
    Optional<String> idempotencyKey) {}
