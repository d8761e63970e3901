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

/** The adapter on bytes made here. */
class WireHostTest {
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

  private final List<byte[]> records = new ArrayList<>();
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();

  private WireHostTest record(int code, Consumer<ByteBuffer> fields) {
    ByteBuffer record = ByteBuffer.allocate(64).order(ByteOrder.LITTLE_ENDIAN).put((byte) code);
    fields.accept(record);
    records.add(record.array());
    return this;
  }

  private byte[] frame(double clock) {
    int size = records.size() * 64 + tail.size();
    ByteBuffer frame = ByteBuffer.allocate(16 + size).order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(size).putInt(records.size()).putDouble(clock);
    records.forEach(frame::put);
    frame.put(tail.toByteArray());
    records.clear();
    tail.reset();
    return frame.array();
  }

  private WireHostTest init(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    record(30, b -> b.putInt(3));
    record(120, b -> b.putLong(99).putInt(tail.size()).putInt(text.length));
    tail.writeBytes(text);
    return this;
  }

  private WireHostTest servers(int... kinds) {
    record(80, b -> b.putInt(0).putInt(tail.size()).putInt(kinds.length));
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
    return record(50, b -> b.put((byte) 2).putInt(1).putInt(0));
  }

  private WireHostTest request(long id) {
    return record(
        130,
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
    new WireHost().run(new ByteArrayInputStream(in.toByteArray()), out);
    return out.toByteArray();
  }

  private static String refusal(byte[]... frames) {
    return assertThrows(MalformedInputException.class, () -> play(frames)).getMessage();
  }

  @Test
  void anEmptyBatchGetsAnEmptyReply() throws IOException {
    assertArrayEquals(
        new byte[8], play(HexFormat.of().parseHex("00000000" + "00000000" + "00000000206ec040")));
  }

  @Test
  void aRequestIsSentToTheReader() throws IOException {
    byte[] out = play(init(SETTINGS).servers(0, 1).request(77).frame(1000));
    ByteBuffer reply = ByteBuffer.wrap(out).order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(out.length - 8, reply.getInt());
    int count = reply.getInt();
    assertEquals((byte) 160, reply.get(8));
    assertEquals(3, reply.getInt(9));
    boolean sent = false;
    for (int i = 0; i < count; i++) {
      int at = 8 + i * 24;
      sent |= reply.get(at) == 10 && reply.getLong(at + 1) == 77 && reply.getInt(at + 9) == 100;
    }
    assertTrue(sent);
  }

  @Test
  void instancesStartAndStop() throws IOException {
    byte[] first = init(SETTINGS).servers(0, 1).frame(1000);
    byte[] second =
        record(30, b -> b.putInt(3)).record(70, b -> {}).init(SETTINGS).servers(0, 1).frame(1002);
    assertTrue(play(first, second).length > 16);
  }

  @Test
  void malformedFramesAreNamed() {
    assertTrue(refusal(new byte[7]).contains("within the header"));
    assertTrue(refusal(Arrays.copyOf(init(SETTINGS).frame(1), 40)).contains("input ends after"));
    byte[] wrong = init(SETTINGS).frame(1);
    wrong[4] = 99;
    assertTrue(refusal(wrong).contains("do not fit"));
    assertTrue(
        refusal(init(SETTINGS).record(77, b -> {}).frame(1)).contains("unknown event code 77"));
    assertTrue(refusal(record(90, b -> {}).frame(1)).contains("before any 'to'"));
    assertTrue(
        refusal(record(30, b -> b.putInt(1)).record(90, b -> {}).frame(1)).contains("not started"));
    assertTrue(
        refusal(record(80, b -> b.putInt(0).putInt(0).putInt(5)).frame(1))
            .contains("past the end"));
  }

  @Test
  void malformedSettingsAreNamed() {
    assertTrue(refusal(init(SETTINGS.replace("1200.0", "soon")).frame(1)).contains("goal-time-ms"));
    assertTrue(refusal(init(SETTINGS.replace("repeatable", "maybe")).frame(1)).contains("maybe"));
    assertTrue(
        refusal(init(SETTINGS.replace("read,write", "read,think")).frame(1)).contains("think"));
    assertTrue(refusal(init("nonsense\n").frame(1)).contains("nonsense"));
    assertTrue(
        refusal(init(SETTINGS.replace("max-attempts=4", "max-attempts=0")).frame(1))
            .contains("attempt"));
  }

  @Test
  void anExceptionInTheModuleBecomesBroken() throws IOException {
    byte[] out = play(init(SETTINGS).servers(0, 9).frame(1000));
    assertTrue(new String(out, StandardCharsets.ISO_8859_1).contains("unknown kind"));
  }
}
