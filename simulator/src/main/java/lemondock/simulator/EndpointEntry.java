package lemondock.simulator;

import java.nio.ByteBuffer;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerLifecycle;

/**
 * Decodes one server of an endpoint list. Offsets count from the start of its bytes; the constants
 * that begin with {@code LIFECYCLE_} are codes on the wire.
 */
final class EndpointEntry {
  static final int BYTES = 23;

  private static final int SERVER_ID = 0;
  private static final int ZONE = 4;
  private static final int KIND = 6;
  private static final int CELL = 8;
  private static final int LIFECYCLE = 10;
  private static final int WEIGHT = 11;
  private static final int STARTED_AT_MILLIS = 15;

  private static final int LIFECYCLE_DRAINING = 0;
  private static final int LIFECYCLE_READY = 2;
  private static final int LIFECYCLE_GONE = 3;

  private EndpointEntry() {}

  static ServerEntry read(EventFrame frame, ByteBuffer body, int offset) {
    return ServerEntry.builder()
        .id(EventFrame.unsignedInt(body, offset + SERVER_ID))
        .zone(EventFrame.unsignedShort(body, offset + ZONE))
        .kind(EventFrame.unsignedShort(body, offset + KIND))
        .cell(EventFrame.unsignedShort(body, offset + CELL))
        .lifecycle(lifecycle(frame, EventFrame.unsignedByte(body, offset + LIFECYCLE)))
        .weight(body.getFloat(offset + WEIGHT))
        .startedAtMicros(EventFrame.micros(body.getDouble(offset + STARTED_AT_MILLIS)))
        .build();
  }

  private static ServerLifecycle lifecycle(EventFrame frame, int code) {
    return switch (code) {
      case LIFECYCLE_READY -> ServerLifecycle.READY;
      case LIFECYCLE_DRAINING -> ServerLifecycle.DRAINING;
      case LIFECYCLE_GONE -> ServerLifecycle.GONE;
      default -> throw frame.malformed("unknown server lifecycle code " + code);
    };
  }
}
