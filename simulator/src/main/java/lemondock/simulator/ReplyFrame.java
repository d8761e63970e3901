package lemondock.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import lemondock.policy.RouterHost;

/** Collects the actions of one batch and encodes them as a reply frame. */
final class ReplyFrame {
  private static final int ACTION_BYTES = 24;
  private static final int HEADER_BYTES = 8;

  // Codes of the actions; the comment after each is its name on the wire.
  private static final int SEND = 10; // forward

  private static final int REJECT = 20; // not_now
  private static final int FAIL = 30; // fail
  private static final int CANCEL = 40; // call_off
  private static final int SET_TIMER = 50; // set_alarm
  private static final int LOG = 90; // write_log
  private static final int REPORT_FAILURE = 100; // broken
  private static final int WATCH_ENDPOINTS = 110; // keep_informed
  private static final int RELEASE_STATE = 150; // drop_state
  private static final int SELECT_INSTANCE = 160; // on_behalf

  private final ByteArrayOutputStream records = new ByteArrayOutputStream();
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int recordCount;
  private long currentInstance = -1;

  /** Returns the host of an instance; its actions are added to this reply. */
  RouterHost hostFor(long instance) {
    return new InstanceHost(instance);
  }

  /** Adds the report that the router of an instance threw an exception. */
  void reportFailure(long instance, String text) {
    addText(instance, REPORT_FAILURE, text);
  }

  /** Returns the bytes of the frame and starts the next frame. */
  byte[] takeBytes() {
    ByteBuffer frame =
        ByteBuffer.allocate(HEADER_BYTES + records.size() + tail.size())
            .order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(records.size() + tail.size()).putInt(recordCount).put(records.toByteArray());
    final byte[] bytes = frame.put(tail.toByteArray()).array();
    records.reset();
    tail.reset();
    recordCount = 0;
    currentInstance = -1;
    return bytes;
  }

  private ByteBuffer newAction(long instance, int code) {
    if (currentInstance != instance) {
      currentInstance = instance;
      addRecord(newRecord(SELECT_INSTANCE).putInt((int) instance));
    }
    return newRecord(code);
  }

  private static ByteBuffer newRecord(int code) {
    return ByteBuffer.allocate(ACTION_BYTES).order(ByteOrder.LITTLE_ENDIAN).put((byte) code);
  }

  private void addRecord(ByteBuffer record) {
    records.writeBytes(record.array());
    recordCount++;
  }

  private void addText(long instance, int code, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    addRecord(newAction(instance, code).putInt(tail.size()).putInt(bytes.length));
    tail.writeBytes(bytes);
  }

  private static double millis(long micros) {
    return micros / EventFrame.MICROS_PER_MILLI;
  }

  private final class InstanceHost implements RouterHost {
    private final long instance;

    InstanceHost(long instance) {
      this.instance = instance;
    }

    /** The simulator sends at the time of the decision, so the time limit needs no record. */
    @Override
    public void send(long requestId, long serverId, long timeoutMicros, long latestSendMicros) {
      addRecord(
          newAction(instance, SEND)
              .putLong(requestId)
              .putInt((int) serverId)
              .putDouble(millis(timeoutMicros)));
    }

    @Override
    public void reject(long requestId, long retryAfterMicros) {
      addRecord(newAction(instance, REJECT).putLong(requestId).putDouble(millis(retryAfterMicros)));
    }

    @Override
    public void fail(long requestId) {
      addRecord(newAction(instance, FAIL).putLong(requestId));
    }

    @Override
    public void cancel(long requestId, int attempt) {
      addRecord(newAction(instance, CANCEL).putLong(requestId).putShort((short) attempt));
    }

    @Override
    public void releaseState(long requestId) {
      addRecord(newAction(instance, RELEASE_STATE).putLong(requestId));
    }

    @Override
    public void setTimer(long token, long delayMicros) {
      addRecord(newAction(instance, SET_TIMER).putLong(token).putDouble(millis(delayMicros)));
    }

    @Override
    public void watchEndpoints() {
      addRecord(newAction(instance, WATCH_ENDPOINTS).put((byte) 1));
    }

    @Override
    public void log(String line) {
      addText(instance, LOG, line);
    }
  }
}
