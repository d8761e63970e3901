package lemondock.dispatch;

import lemondock.policy.RouterHost;

/**
 * An attempt that is about to be sent to an engine.
 *
 * @param id unique id of the attempt, never reused
 * @param latestSendMicros time on the loop's clock after which the last byte must not be sent;
 *     {@link RouterHost#NO_SEND_LIMIT} if there is no limit
 */
public record OutgoingAttempt(String id, long latestSendMicros) {}
