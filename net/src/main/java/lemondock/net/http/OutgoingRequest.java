package lemondock.net.http;

import java.nio.ByteBuffer;
import lemondock.net.Connection;

/**
 * An encoded request.
 *
 * @param head the head, or the whole request
 * @param body the rest of the request, which several attempts may share; empty if there is none
 * @param latestSendMicros time on the loop's clock after which the last byte is not sent and the
 *     request fails with {@link RequestFailure#SEND_LIMIT_EXCEEDED}; {@link
 *     Connection#NO_SEND_LIMIT} if there is no limit
 */
public record OutgoingRequest(ByteBuffer head, ByteBuffer body, long latestSendMicros) {
  private static final ByteBuffer NO_BODY = ByteBuffer.allocate(0);

  /** A request whose head and body are in one buffer. */
  public OutgoingRequest(ByteBuffer bytes, long latestSendMicros) {
    this(bytes, NO_BODY, latestSendMicros);
  }

  /** A request that may be sent at any time. */
  public static OutgoingRequest withoutLimit(ByteBuffer bytes) {
    return new OutgoingRequest(bytes, Connection.NO_SEND_LIMIT);
  }

  /** Writes the request to a connection, which owns the buffers from then on. */
  void writeTo(Connection connection) {
    if (body.hasRemaining()) {
      connection.write(head);
      connection.write(body, latestSendMicros);
    } else {
      connection.write(head, latestSendMicros);
    }
  }
}
