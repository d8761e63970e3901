package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Records in a file that only grows, each with its length and checksum (as LevelDB's log, without
 * its blocks). What {@link #write} has returned from is found again by the next {@link #open},
 * whatever happens to the process; what it has not may be or not, but never in part. {@link
 * #restart} bounds the size: a new file begins with all that still matters and takes the old one's
 * place. Blocks; one thread at a time.
 */
public final class AppendLog implements AutoCloseable {
  /** The longest record, in bytes. */
  public static final int MOST_RECORD = 1 << 20;

  private static final byte[] MAGIC = "LDLOG001".getBytes(StandardCharsets.US_ASCII);
  private static final String NAME = "log-";
  private static final String NEXT = "next";
  private static final int HEAD = 8;
  private static final int MOST_EMPTY_WRITES = 8;

  private final FileSystemPort files;
  private long number;
  private long length;

  /** What is behind {@link #length} in the file is not known: a write failed. */
  private boolean torn;

  /**
   * A new file may have taken this one's place in the folder, and the folder may not be durable: a
   * rename or a sync has failed.
   */
  private boolean replacing;

  private long replacementLength;
  private FileSystemPort.Out out;

  /**
   * What an opening found.
   *
   * @param records read
   * @param dropped bytes behind the last whole record, which were cut off
   * @param file the log's name
   */
  public record Found(long records, long dropped, String file) {}

  /** A log in that folder, not open yet. */
  public AppendLog(FileSystemPort files) {
    this.files = files;
  }

  /** Reads all records, cuts off what is not whole behind them, and makes ready to write. */
  public Found open(Consumer<ByteBuffer> records) throws IOException {
    List<String> names = files.names();
    number =
        names.stream()
            .filter(n -> n.matches(NAME + "\\d{1,18}"))
            .mapToLong(n -> Long.parseLong(n.substring(NAME.length())))
            .max()
            .orElse(0);
    if (number == 0) {
      restart(List.of());
      return new Found(0, 0, name());
    }
    byte[] all = files.read(name());
    if (all.length < MAGIC.length || !Arrays.equals(all, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
      throw new IOException(
          name()
              + ": expected a log that begins with "
              + new String(MAGIC, StandardCharsets.US_ASCII)
              + ", found "
              + all.length
              + " bytes of something else");
    }
    ByteBuffer bytes = ByteBuffer.wrap(all).position(MAGIC.length);
    long count = 0;
    while (true) {
      int at = bytes.position();
      ByteBuffer record = next(bytes);
      if (record == null) {
        length = at;
        break;
      }
      records.accept(record);
      count++;
    }
    long dropped = all.length - length;
    if (dropped > 0) {
      files.truncate(name(), length);
    }
    out = files.append(name());
    for (String name : names) {
      if (!name.equals(name()) && (name.equals(NEXT) || name.startsWith(NAME))) {
        files.delete(name); // a restart that was cut short leaves one of them
      }
    }
    return new Found(count, dropped, name());
  }

  /** The next whole record, null if there is none. */
  private static ByteBuffer next(ByteBuffer bytes) {
    if (bytes.remaining() < HEAD) {
      return null;
    }
    int size = bytes.getInt();
    int sum = bytes.getInt();
    if (size <= 0 || size > MOST_RECORD || size > bytes.remaining()) {
      return null;
    }
    ByteBuffer record = bytes.slice(bytes.position(), size);
    CRC32C crc = new CRC32C();
    crc.update(record.duplicate());
    if ((int) crc.getValue() != sum) {
      return null;
    }
    bytes.position(bytes.position() + size);
    return record;
  }

  private String name() {
    return nameOf(number);
  }

  private static String nameOf(long number) {
    return NAME + number;
  }

  /**
   * Writes records together and makes them durable; one that fails leaves the log as it was before,
   * as far as readers see.
   */
  public void write(List<byte[]> records) throws IOException {
    if (torn || replacing || out == null) {
      mend();
    }
    ByteBuffer bytes = framed(records, 0);
    final int size = bytes.remaining();
    torn = true;
    put(out, bytes);
    out.sync();
    torn = false;
    length += size;
  }

  /**
   * After a failure: goes on in the file that the next {@link #open} would find, and cuts off what
   * a write may have left there.
   */
  private void mend() throws IOException {
    close();
    if (replacing) {
      replaced();
    }
    files.truncate(name(), length);
    out = files.append(name());
    torn = false;
  }

  private static ByteBuffer framed(List<byte[]> records, int before) {
    int size = before;
    for (byte[] record : records) {
      if (record.length == 0 || record.length > MOST_RECORD) {
        throw new IllegalArgumentException("a record of " + record.length + " bytes");
      }
      size += HEAD + record.length;
    }
    ByteBuffer bytes = ByteBuffer.allocate(size).position(before);
    for (byte[] record : records) {
      CRC32C crc = new CRC32C();
      crc.update(record);
      bytes.putInt(record.length).putInt((int) crc.getValue()).put(record);
    }
    return bytes.flip().position(before);
  }

  private static void put(FileSystemPort.Out to, ByteBuffer bytes) throws IOException {
    int empty = 0;
    while (bytes.hasRemaining()) {
      int before = bytes.remaining();
      to.write(bytes);
      empty = bytes.remaining() < before ? 0 : empty + 1;
      if (empty == MOST_EMPTY_WRITES) {
        throw new IOException("the file takes no more bytes");
      }
    }
  }

  /**
   * Begins a new file with these records, which stand for all before; the old one is removed when
   * the new one is durable.
   */
  public void restart(List<byte[]> records) throws IOException {
    files.delete(NEXT);
    ByteBuffer bytes = framed(records, MAGIC.length);
    bytes.position(0).put(MAGIC).position(0);
    int size = bytes.remaining();
    try (FileSystemPort.Out next = files.append(NEXT)) {
      put(next, bytes);
      next.sync();
    }
    replacementLength = size;
    replacing = true;
    files.rename(NEXT, nameOf(number + 1));
    close();
    replaced();
    torn = false;
    out = files.append(name());
  }

  /**
   * Goes over to the new file if it is there. Nothing more is written before the folder is durable:
   * the next life must find the very file that the last records went to.
   */
  private void replaced() throws IOException {
    boolean there = files.names().contains(nameOf(number + 1));
    files.syncFolder();
    replacing = false;
    if (!there) {
      return;
    }
    String old = name();
    boolean had = number > 0;
    number++;
    length = replacementLength;
    if (had) {
      files.delete(old);
    }
  }

  /** Bytes of the file. */
  public long length() {
    return length;
  }

  @Override
  public void close() throws IOException {
    if (out != null) {
      out.close();
      out = null;
    }
  }
}
