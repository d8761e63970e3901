package lemondock.emulator.collect;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the subset of Python's pickle format that senders of metrics use: lists, pairs, strings,
 * integers and floating-point numbers. Any other opcode is an error.
 */
final class PickleReader {
  private static final int PROTOCOL = 0x80;
  private static final int EMPTY_LIST = ']';
  private static final int MARK = '(';
  private static final int TEXT = 'X';
  private static final int DOUBLE = 'G';
  private static final int INTEGER = 0x8a;
  private static final int PAIR = 0x86;
  private static final int APPENDS = 'e';
  private static final int STOP = '.';
  private static final Object MARKER = new Object();

  private final DataInputStream in;
  private final List<Object> stack = new ArrayList<>();

  private PickleReader(byte[] bytes) {
    in = new DataInputStream(new ByteArrayInputStream(bytes));
  }

  /**
   * Reads one object.
   *
   * @return a {@link List}, {@link String}, {@link BigInteger} or {@link Double}
   */
  static Object read(byte[] bytes) throws IOException {
    PickleReader reader = new PickleReader(bytes);
    int opcode = reader.in.readUnsignedByte();
    while (opcode != STOP) {
      reader.execute(opcode);
      opcode = reader.in.readUnsignedByte();
    }
    return reader.stack.get(0);
  }

  private void execute(int opcode) throws IOException {
    switch (opcode) {
      case PROTOCOL -> in.readUnsignedByte();
      case EMPTY_LIST -> stack.add(new ArrayList<>());
      case MARK -> stack.add(MARKER);
      case TEXT -> stack.add(readText());
      case DOUBLE -> stack.add(in.readDouble());
      case INTEGER -> stack.add(readInteger());
      case PAIR -> makePair();
      case APPENDS -> appendToList();
      default -> throw new IOException("unsupported pickle opcode " + opcode);
    }
  }

  private String readText() throws IOException {
    int length = Integer.reverseBytes(in.readInt());
    return new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }

  private BigInteger readInteger() throws IOException {
    byte[] littleEndian = in.readNBytes(in.readUnsignedByte());
    byte[] bigEndian = new byte[littleEndian.length];
    for (int i = 0; i < bigEndian.length; i++) {
      bigEndian[i] = littleEndian[littleEndian.length - 1 - i];
    }
    return new BigInteger(bigEndian);
  }

  private Object pop() {
    return stack.remove(stack.size() - 1);
  }

  private void makePair() {
    Object second = pop();
    Object first = pop();
    stack.add(List.of(first, second));
  }

  /** Appends the objects above the topmost marker to the list below it. */
  private void appendToList() {
    int marker = stack.lastIndexOf(MARKER);
    List<Object> items = new ArrayList<>(stack.subList(marker + 1, stack.size()));
    stack.subList(marker, stack.size()).clear();
    @SuppressWarnings("unchecked") // the list below a marker was made by EMPTY_LIST
    List<Object> list = (List<Object>) stack.get(stack.size() - 1);
    list.addAll(items);
  }
}
