package lemondock.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The format of a log file: a magic string, then frames. A frame consists of a record's length and
 * CRC-32C, four bytes each, and the record itself (like LevelDB's log, but without blocks).
 */
final class LogFrames {
  private static final String MAGIC_TEXT = "LDLOG001";
  private static final byte[] MAGIC = MAGIC_TEXT.getBytes(StandardCharsets.US_ASCII);
  private static final int FRAME_HEADER_BYTES = 8;

  private LogFrames() {}

  /** Encodes a complete file that holds these records. */
  static ByteBuffer encodeFile(List<byte[]> records) {
    ByteBuffer bytes = ByteBuffer.allocate(MAGIC.length + sizeOf(records)).put(MAGIC);
    return putFrames(records, bytes);
  }

  /** Encodes records as the frames to append to a file. */
  static ByteBuffer encodeFrames(List<byte[]> records) {
    return putFrames(records, ByteBuffer.allocate(sizeOf(records)));
  }

  private static int sizeOf(List<byte[]> records) {
    int size = 0;
    for (byte[] record : records) {
      if (record.length == 0 || record.length > AppendLog.MAX_RECORD_BYTES) {
        throw new IllegalArgumentException(
            "record length: expected 1 to "
                + AppendLog.MAX_RECORD_BYTES
                + " bytes, found "
                + record.length);
      }
      size += FRAME_HEADER_BYTES + record.length;
    }
    return size;
  }

  private static ByteBuffer putFrames(List<byte[]> records, ByteBuffer bytes) {
    for (byte[] record : records) {
      CRC32C checksum = new CRC32C();
      checksum.update(record);
      bytes.putInt(record.length).putInt((int) checksum.getValue()).put(record);
    }
    return bytes.flip();
  }

  /** Checks the magic string of a file and returns the content after it. */
  static ByteBuffer contentAfterMagic(String file, byte[] bytes) throws LogFormatException {
    if (bytes.length < MAGIC.length
        || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
      throw new LogFormatException(file, MAGIC_TEXT, bytes.length);
    }
    return ByteBuffer.wrap(bytes).position(MAGIC.length);
  }

  /**
   * Reads the next record; empty if the bytes that follow are not a complete record with a correct
   * checksum.
   */
  static Optional<ByteBuffer> readNext(ByteBuffer bytes) {
    if (bytes.remaining() < FRAME_HEADER_BYTES) {
      return Optional.empty();
    }
    int size = bytes.getInt();
    int expectedChecksum = bytes.getInt();
    if (size <= 0 || size > AppendLog.MAX_RECORD_BYTES || size > bytes.remaining()) {
      return Optional.empty();
    }
    ByteBuffer record = bytes.slice(bytes.position(), size);
    CRC32C checksum = new CRC32C();
    checksum.update(record.duplicate());
    if ((int) checksum.getValue() != expectedChecksum) {
      return Optional.empty();
    }
    bytes.position(bytes.position() + size);
    return Optional.of(record);
  }
}
