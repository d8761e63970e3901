package lemondock.idempotency;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A change of a call's state as stored in the log: one byte for the type of the record, then the
 * call's key and two more strings, each as a length of four bytes followed by UTF-8.
 */
sealed interface CallRecord {
  /**
   * A call has started.
   *
   * @param ageMillis time from the start of the call until this record was written
   */
  record Started(String key, long ageMillis) implements CallRecord {
    @Override
    public byte[] encode() {
      return CallRecord.encode(Type.STARTED, key, Long.toString(ageMillis), "");
    }
  }

  /** A tool call is about to be relayed. */
  record ToolCallRelayed(String key, String id, String tool) implements CallRecord {
    @Override
    public byte[] encode() {
      return CallRecord.encode(Type.TOOL_CALL_RELAYED, key, id, tool);
    }
  }

  /** The result of a relayed tool call has arrived. */
  record ToolCallAnswered(String key, String id) implements CallRecord {
    @Override
    public byte[] encode() {
      return CallRecord.encode(Type.TOOL_CALL_ANSWERED, key, id, "");
    }
  }

  /** A call has ended. */
  record Ended(String key, CallStatus status) implements CallRecord {
    public Ended {
      if (!status.isFinal()) {
        throw new IllegalArgumentException("call status: expected a final one, found " + status);
      }
    }

    @Override
    public byte[] encode() {
      return CallRecord.encode(Type.ENDED, key, status.storedName(), "");
    }
  }

  /** The type of a record; stored as its position in this list, counted from 1. */
  enum Type {
    STARTED,
    TOOL_CALL_RELAYED,
    TOOL_CALL_ANSWERED,
    ENDED;

    private byte code() {
      return (byte) (ordinal() + 1);
    }

    private static Type ofCode(byte code) {
      if (code < 1 || code > values().length) {
        throw new IllegalArgumentException(
            "record type: expected 1 to " + values().length + ", found " + code);
      }
      return values()[code - 1];
    }
  }

  /** Encodes the record as stored in the log. */
  byte[] encode();

  private static byte[] encode(Type type, String... texts) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeByte(type.code());
      for (String text : texts) {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(utf8.length);
        out.write(utf8);
      }
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a record.
   *
   * @throws InvalidRecordException if the bytes are not a valid record, or one of a later version
   */
  static CallRecord decode(ByteBuffer record) {
    try {
      byte code = record.get();
      String key = readText(record);
      String first = readText(record);
      String second = readText(record);
      return switch (Type.ofCode(code)) {
        case STARTED -> new Started(key, Long.parseLong(first));
        case TOOL_CALL_RELAYED -> new ToolCallRelayed(key, first, second);
        case TOOL_CALL_ANSWERED -> new ToolCallAnswered(key, first);
        case ENDED -> new Ended(key, CallStatus.ofStoredName(first));
      };
    } catch (RuntimeException e) {
      throw new InvalidRecordException(e);
    }
  }

  private static String readText(ByteBuffer record) {
    byte[] utf8 = new byte[record.getInt()];
    record.get(utf8);
    return new String(utf8, StandardCharsets.UTF_8);
  }
}
