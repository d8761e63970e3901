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

/** Frames in, frames out: the adapter on hand-made bytes. */
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

  // Codes of the wire, written out here: the test is not to share the adapter's mistakes.
  private static final int SELECT_INSTANCE = 30;
  private static final int ENDPOINTS_CHANGED = 50;
  private static final int INSTANCE_STOPPED = 70;
  private static final int UNKNOWN = 77;
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

  private byte[] frame(double clock) {
    int size = records.size() * EVENT_BYTES + tail.size();
    ByteBuffer frame = ByteBuffer.allocate(16 + size).order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(size).putInt(records.size()).putDouble(clock);
    records.forEach(frame::put);
    frame.put(tail.toByteArray());
    records.clear();
    tail.reset();
    return frame.array();
  }

  private SimulatorAdapterTest init(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    record(SELECT_INSTANCE, b -> b.putInt(3));
    record(INSTANCE_STARTED, b -> b.putLong(99).putInt(tail.size()).putInt(text.length));
    tail.writeBytes(text);
    return this;
  }

  private SimulatorAdapterTest servers(int... kinds) {
    record(ENDPOINT_LIST, b -> b.putInt(0).putInt(tail.size()).putInt(kinds.length));
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
    return record(ENDPOINTS_CHANGED, b -> b.put((byte) 2).putInt(1).putInt(0));
  }

  private SimulatorAdapterTest request(long id) {
    return record(
        REQUEST_ARRIVED,
        b ->
            b.putLong(id)
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

  private static byte[] play(byte[]... frames) throws IOException {
    ByteArrayOutputStream in = new ByteArrayOutputStream();
    Arrays.stream(frames).forEach(in::writeBytes);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter().run(new ByteArrayInputStream(in.toByteArray()), out);
    return out.toByteArray();
  }

  private static String errorOf(byte[]... frames) {
    return assertThrows(MalformedInputException.class, () -> play(frames)).getMessage();
  }

  @Test
  void anEmptyBatchGetsAnEmptyReply() throws IOException {
    assertArrayEquals(
        new byte[REPLY_HEADER_BYTES],
        play(HexFormat.of().parseHex("00000000" + "00000000" + "00000000206ec040")));
  }

  @Test
  void aRequestIsSentToTheReader() throws IOException {
    byte[] out = play(init(SETTINGS).servers(0, 1).request(77).frame(1000));
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
  void anInstanceCanBeStoppedAndStartedAgain() throws IOException {
    byte[] first = init(SETTINGS).servers(0, 1).frame(1000);
    byte[] second =
        record(SELECT_INSTANCE, b -> b.putInt(3))
            .record(INSTANCE_STOPPED, b -> {})
            .init(SETTINGS)
            .servers(0, 1)
            .frame(1002);
    assertTrue(play(first, second).length > 16);
  }

  @Test
  void theErrorOfAMalformedFrameNamesTheProblem() {
    assertTrue(errorOf(new byte[7]).contains("within the header"));
    assertTrue(errorOf(Arrays.copyOf(init(SETTINGS).frame(1), 40)).contains("input ends after"));
    byte[] wrong = init(SETTINGS).frame(1);
    wrong[4] = 99;
    assertTrue(errorOf(wrong).contains("do not fit"));
    assertTrue(
        errorOf(init(SETTINGS).record(UNKNOWN, b -> {}).frame(1))
            .contains("unknown event code 77"));
    assertTrue(errorOf(record(TIMER_FIRED, b -> {}).frame(1)).contains("before any 'to'"));
    assertTrue(
        errorOf(record(SELECT_INSTANCE, b -> b.putInt(1)).record(TIMER_FIRED, b -> {}).frame(1))
            .contains("not started"));
    assertTrue(
        errorOf(record(ENDPOINT_LIST, b -> b.putInt(0).putInt(0).putInt(5)).frame(1))
            .contains("past the end"));
  }

  @Test
  void theErrorOfMalformedSettingsNamesTheSetting() {
    assertTrue(errorOf(init(SETTINGS.replace("1200.0", "soon")).frame(1)).contains("goal-time-ms"));
    assertTrue(errorOf(init(SETTINGS.replace("repeatable", "maybe")).frame(1)).contains("maybe"));
    assertTrue(
        errorOf(init(SETTINGS.replace("read,write", "read,think")).frame(1)).contains("think"));
    assertTrue(errorOf(init("nonsense\n").frame(1)).contains("nonsense"));
    assertTrue(
        errorOf(init(SETTINGS.replace("max-attempts=4", "max-attempts=0")).frame(1))
            .contains("attempt"));
  }

  @Test
  void anExceptionOfTheRouterIsReportedAsFailure() throws IOException {
    byte[] out = play(init(SETTINGS).servers(0, 9).frame(1000));
    assertTrue(new String(out, StandardCharsets.ISO_8859_1).contains("unknown kind"));
  }
}
