package lemondock.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Runs the adapter on frames that are built by hand and checks the reply frames. */
class SimulatorAdapterTest {
  private static final String SETTINGS =
      """
      me=0
      siblings=2
      az=0
      resolution-ms=2.0
      classes.count=1
      classes.0.credit=1.0
      classes.0.deadline-ms=5000.0
      classes.0.goal-time-ms=1200.0
      classes.0.repeat=repeatable
      limits.max-attempts=4
      specifics.duty-by-kind=read,write
      specifics.memory-tokens=200000,150000
      some.new.key=whatever
      """;

  private static final int EVENT_BYTES = 64;
  private static final int ACTION_BYTES = 24;
  private static final int REPLY_HEADER_BYTES = 8;

  // Wire codes, repeated here so that a wrong code in the adapter makes the tests fail.
  private static final int SELECT_INSTANCE = 30;
  private static final int ENDPOINTS_CHANGED = 50;
  private static final int INSTANCE_STOPPED = 70;
  private static final int UNKNOWN_EVENT = 77;
  private static final int ENDPOINT_LIST = 80;
  private static final int TIMER_FIRED = 90;
  private static final int INSTANCE_STARTED = 120;
  private static final int REQUEST_ARRIVED = 130;
  private static final byte ACTION_SEND = 10;
  private static final byte ACTION_SELECT_INSTANCE = (byte) 160;

  private final List<byte[]> records = new ArrayList<>();
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();

  private SimulatorAdapterTest record(int code, Consumer<ByteBuffer> fields) {
    ByteBuffer record =
        ByteBuffer.allocate(EVENT_BYTES).order(ByteOrder.LITTLE_ENDIAN).put((byte) code);
    fields.accept(record);
    records.add(record.array());
    return this;
  }

  private byte[] takeFrame(double clockMillis) {
    int size = records.size() * EVENT_BYTES + tail.size();
    ByteBuffer frame = ByteBuffer.allocate(16 + size).order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(size).putInt(records.size()).putDouble(clockMillis);
    records.forEach(frame::put);
    frame.put(tail.toByteArray());
    records.clear();
    tail.reset();
    return frame.array();
  }

  private SimulatorAdapterTest startInstance(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    record(SELECT_INSTANCE, fields -> fields.putInt(3));
    record(INSTANCE_STARTED, fields -> fields.putLong(99).putInt(tail.size()).putInt(text.length));
    tail.writeBytes(text);
    return this;
  }

  private SimulatorAdapterTest endpoints(int... kinds) {
    record(ENDPOINT_LIST, fields -> fields.putInt(0).putInt(tail.size()).putInt(kinds.length));
    for (int i = 0; i < kinds.length; i++) {
      tail.writeBytes(
          ByteBuffer.allocate(23)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(100 + i)
              .putShort((short) 0)
              .putShort((short) kinds[i])
              .putShort((short) 0)
              .put((byte) 2)
              .putFloat(1)
              .putDouble(0)
              .array());
    }
    return record(ENDPOINTS_CHANGED, fields -> fields.put((byte) 2).putInt(1).putInt(0));
  }

  private SimulatorAdapterTest request(long id) {
    return record(
        REQUEST_ARRIVED,
        fields ->
            fields
                .putLong(id)
                .putShort((short) 0)
                .putInt(0)
                .putLong(5)
                .putDouble(4000)
                .putDouble(0)
                .putLong(0)
                .putFloat(900)
                .putFloat(0)
                .putFloat(200)
                .put((byte) 0));
  }

  private static byte[] runAdapter(byte[]... frames) throws IOException {
    ByteArrayOutputStream in = new ByteArrayOutputStream();
    Arrays.stream(frames).forEach(in::writeBytes);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter().run(new ByteArrayInputStream(in.toByteArray()), out);
    return out.toByteArray();
  }

  private static String malformedInputMessage(byte[]... frames) {
    return assertThrows(MalformedInputException.class, () -> runAdapter(frames)).getMessage();
  }

  @Test
  void emptyBatchGetsEmptyReply() throws IOException {
    assertArrayEquals(
        new byte[REPLY_HEADER_BYTES],
        runAdapter(HexFormat.of().parseHex("00000000" + "00000000" + "00000000206ec040")));
  }

  @Test
  void requestIsSentToReader() throws IOException {
    byte[] out = runAdapter(startInstance(SETTINGS).endpoints(0, 1).request(77).takeFrame(1000));
    ByteBuffer reply = ByteBuffer.wrap(out).order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(out.length - REPLY_HEADER_BYTES, reply.getInt());
    int count = reply.getInt();
    assertEquals(ACTION_SELECT_INSTANCE, reply.get(REPLY_HEADER_BYTES));
    assertEquals(3, reply.getInt(REPLY_HEADER_BYTES + 1));
    boolean sent = false;
    for (int i = 0; i < count; i++) {
      int offset = REPLY_HEADER_BYTES + i * ACTION_BYTES;
      sent |=
          reply.get(offset) == ACTION_SEND
              && reply.getLong(offset + 1) == 77
              && reply.getInt(offset + 9) == 100;
    }
    assertTrue(sent);
  }

  @Test
  void stoppedInstanceCanBeStartedAgain() throws IOException {
    byte[] first = startInstance(SETTINGS).endpoints(0, 1).takeFrame(1000);
    byte[] second =
        record(SELECT_INSTANCE, fields -> fields.putInt(3))
            .record(INSTANCE_STOPPED, fields -> {})
            .startInstance(SETTINGS)
            .endpoints(0, 1)
            .takeFrame(1002);
    assertTrue(runAdapter(first, second).length > 16);
  }

  @Test
  void malformedFrameErrorNamesProblem() {
    assertTrue(malformedInputMessage(new byte[7]).contains("within the header"));
    assertTrue(
        malformedInputMessage(Arrays.copyOf(startInstance(SETTINGS).takeFrame(1), 40))
            .contains("input ends after"));
    byte[] wrongCount = startInstance(SETTINGS).takeFrame(1);
    wrongCount[4] = 99;
    assertTrue(malformedInputMessage(wrongCount).contains("do not fit"));
    assertTrue(
        malformedInputMessage(
                startInstance(SETTINGS).record(UNKNOWN_EVENT, fields -> {}).takeFrame(1))
            .contains("unknown event code 77"));
    assertTrue(
        malformedInputMessage(record(TIMER_FIRED, fields -> {}).takeFrame(1))
            .contains("before any 'to'"));
    assertTrue(
        malformedInputMessage(
                record(SELECT_INSTANCE, fields -> fields.putInt(1))
                    .record(TIMER_FIRED, fields -> {})
                    .takeFrame(1))
            .contains("not started"));
    assertTrue(
        malformedInputMessage(
                record(ENDPOINT_LIST, fields -> fields.putInt(0).putInt(0).putInt(5)).takeFrame(1))
            .contains("past the end"));
  }

  @Test
  void malformedSettingsErrorNamesSettingOrValue() {
    assertTrue(
        malformedInputMessage(startInstance(SETTINGS.replace("1200.0", "soon")).takeFrame(1))
            .contains("goal-time-ms"));
    assertTrue(
        malformedInputMessage(startInstance(SETTINGS.replace("repeatable", "maybe")).takeFrame(1))
            .contains("maybe"));
    assertTrue(
        malformedInputMessage(
                startInstance(SETTINGS.replace("read,write", "read,think")).takeFrame(1))
            .contains("think"));
    assertTrue(
        malformedInputMessage(startInstance("nonsense\n").takeFrame(1)).contains("nonsense"));
    assertTrue(
        malformedInputMessage(
                startInstance(SETTINGS.replace("max-attempts=4", "max-attempts=0")).takeFrame(1))
            .contains("attempt"));
  }

  @Test
  void routerExceptionIsReportedAsFailure() throws IOException {
    byte[] out = runAdapter(startInstance(SETTINGS).endpoints(0, 9).takeFrame(1000));
    assertTrue(new String(out, StandardCharsets.ISO_8859_1).contains("unknown kind"));
  }
}
