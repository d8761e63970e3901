package lemondock.net.http;

import java.nio.ByteBuffer;
import lemondock.net.Connection;

/**
 * An encoded request.
 *
 * @param bytes head and body
 * @param latestSendMicros time on the loop's clock after which the last byte is not sent and the
 *     request fails with {@link RequestFailure#SEND_LIMIT_EXCEEDED}; {@link
 *     Connection#NO_SEND_LIMIT} if there is no limit
 */
public record OutgoingRequest(ByteBuffer bytes, long latestSendMicros) {
  /** A request that may be sent at any time. */
  public static OutgoingRequest withoutLimit(ByteBuffer bytes) {
    return new OutgoingRequest(bytes, Connection.NO_SEND_LIMIT);
  }
}
