package lemondock.gateway.core;

import java.util.Optional;
import lemondock.gateway.answer.Prompt;

/**
 * A call as a client makes it.
 *
 * @param sessionKey hash of its conversation, see {@link CallService#sessionKey}
 * @param tenant for the metrics
 * @param clientRetry whether the client says that it repeats a call
 * @param idempotencyKey the client's own for this call and its repeats; {@link
 *     CallService#blockingStatus} was asked about it
 */
public record CallRequest(
    Prompt prompt,
    long sessionKey,
    Optional<String> tenant,
    boolean clientRetry,
    Optional<String> idempotencyKey) {}
