package lemondock.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import lemondock.policy.RouterHost;

/** Collects the actions of one batch and lays them out as a reply frame. */
final class Reply {
  private static final int ACTION_BYTES = 24;
  private static final int HEADER_BYTES = 8;

  /** Action codes of the wire. */
  private static final int FORWARD = 10;

  private static final int NOT_NOW = 20;
  private static final int FAIL = 30;
  private static final int CALL_OFF = 40;
  private static final int SET_ALARM = 50;
  private static final int WRITE_LOG = 90;
  private static final int BROKEN = 100;
  private static final int KEEP_INFORMED = 110;
  private static final int DROP_STATE = 150;
  private static final int ON_BEHALF = 160;

  private final ByteArrayOutputStream records = new ByteArrayOutputStream();
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int count;
  private long currentInstance = -1;

  /** The actions of one instance, written into this reply. */
  RouterHost hostFor(long instance) {
    return new InstanceHost(instance);
  }

  void reportFailure(long instance, String text) {
    addText(instance, BROKEN, text);
  }

  byte[] frame() {
    ByteBuffer frame =
        ByteBuffer.allocate(HEADER_BYTES + records.size() + tail.size())
            .order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(records.size() + tail.size()).putInt(count).put(records.toByteArray());
    final byte[] bytes = frame.put(tail.toByteArray()).array();
    records.reset();
    tail.reset();
    count = 0;
    currentInstance = -1;
    return bytes;
  }

  private ByteBuffer action(long instance, int code) {
    if (currentInstance != instance) {
      currentInstance = instance;
      addRecord(record(ON_BEHALF).putInt((int) instance));
    }
    return record(code);
  }

  private static ByteBuffer record(int code) {
    return ByteBuffer.allocate(ACTION_BYTES).order(ByteOrder.LITTLE_ENDIAN).put((byte) code);
  }

  private void addRecord(ByteBuffer record) {
    records.writeBytes(record.array());
    count++;
  }

  private void addText(long instance, int code, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    addRecord(action(instance, code).putInt(tail.size()).putInt(bytes.length));
    tail.writeBytes(bytes);
  }

  private static double millis(long micros) {
    return micros / WireHost.MICROS_PER_MILLI;
  }

  private final class InstanceHost implements RouterHost {
    private final long instance;

    InstanceHost(long instance) {
      this.instance = instance;
    }

    @Override
    public void send(long requestId, long serverId, long timeout) {
      addRecord(
          action(instance, FORWARD)
              .putLong(requestId)
              .putInt((int) serverId)
              .putDouble(millis(timeout)));
    }

    @Override
    public void reject(long requestId, long retryAfter) {
      addRecord(action(instance, NOT_NOW).putLong(requestId).putDouble(millis(retryAfter)));
    }

    @Override
    public void fail(long requestId) {
      addRecord(action(instance, FAIL).putLong(requestId));
    }

    @Override
    public void cancel(long requestId, int attempt) {
      addRecord(action(instance, CALL_OFF).putLong(requestId).putShort((short) attempt));
    }

    @Override
    public void releaseState(long requestId) {
      addRecord(action(instance, DROP_STATE).putLong(requestId));
    }

    @Override
    public void setTimer(long token, long delay) {
      addRecord(action(instance, SET_ALARM).putLong(token).putDouble(millis(delay)));
    }

    @Override
    public void watchEndpoints() {
      addRecord(action(instance, KEEP_INFORMED).put((byte) 1));
    }

    @Override
    public void log(String line) {
      addText(instance, WRITE_LOG, line);
    }
  }
}
