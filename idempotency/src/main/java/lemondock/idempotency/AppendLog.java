package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A write-ahead log: records in a file that is only appended to, each with its length and checksum.
 * What {@link #write} has returned from is found again by the next {@link #open}, whatever happens
 * to the process; what it has not may be found or not, but never in part. {@link #compact} bounds
 * the size: a new file begins with all that still matters and replaces the old one. Blocks; one
 * thread at a time.
 */
public final class AppendLog implements AutoCloseable {
  /** The longest record, in bytes. */
  public static final int MAX_RECORD_BYTES = 1 << 20;

  private static final String NAME_PREFIX = "log-";
  private static final String NEXT_FILE = "next";
  private static final int MAX_EMPTY_WRITES = 8;

  private final FileSystemPort files;

  /** Number of the current file; 0 before there is one. */
  private long fileNumber;

  /** Bytes of the current file that hold complete records. */
  private long length;

  /** A write has failed: it is not known what is behind {@link #length} in the file. */
  private boolean tailUncertain;

  /**
   * A rename or a sync of the directory has failed: a new file may have replaced this one, and the
   * directory may not be durable.
   */
  private boolean replacementUncertain;

  private long replacementLength;

  /** Null while no file is open. */
  private FileSystemPort.AppendFile out;

  /**
   * What {@link #open} has found.
   *
   * @param records complete records
   * @param truncatedBytes bytes behind them, which were cut off
   * @param file name of the log's file
   */
  public record OpenResult(long records, long truncatedBytes, String file) {}

  /** A log in that directory, not open yet. */
  public AppendLog(FileSystemPort files) {
    this.files = files;
  }

  /**
   * Reads all records, cuts off what is incomplete behind them, and makes ready to write.
   *
   * @throws LogFormatException if the newest file is not a log
   */
  public OpenResult open(Consumer<ByteBuffer> consumer) throws IOException {
    List<String> names = files.fileNames();
    fileNumber = newestFileNumber(names);
    if (fileNumber == 0) {
      compact(List.of());
      return new OpenResult(0, 0, currentFile());
    }
    byte[] content = files.read(currentFile());
    final long records = readRecords(content, consumer);
    long truncatedBytes = content.length - length;
    if (truncatedBytes > 0) {
      files.truncate(currentFile(), length);
    }
    out = files.append(currentFile());
    deleteLeftovers(names);
    return new OpenResult(records, truncatedBytes, currentFile());
  }

  private static long newestFileNumber(List<String> names) {
    return names.stream()
        .filter(name -> name.matches(NAME_PREFIX + "\\d{1,18}"))
        .mapToLong(name -> Long.parseLong(name.substring(NAME_PREFIX.length())))
        .max()
        .orElse(0);
  }

  /** Sets {@link #length} to the end of the last complete record. */
  private long readRecords(byte[] content, Consumer<ByteBuffer> consumer) throws IOException {
    ByteBuffer bytes = LogFrames.contentOf(currentFile(), content);
    long records = 0;
    length = bytes.position();
    Optional<ByteBuffer> record = LogFrames.next(bytes);
    while (record.isPresent()) {
      consumer.accept(record.get());
      records++;
      length = bytes.position();
      record = LogFrames.next(bytes);
    }
    return records;
  }

  /** A compaction that was interrupted leaves a file. */
  private void deleteLeftovers(List<String> names) throws IOException {
    for (String name : names) {
      if (!name.equals(currentFile()) && (name.equals(NEXT_FILE) || name.startsWith(NAME_PREFIX))) {
        files.delete(name);
      }
    }
  }

  private String currentFile() {
    return nameOf(fileNumber);
  }

  private static String nameOf(long number) {
    return NAME_PREFIX + number;
  }

  /**
   * Writes records together and makes them durable; a failure leaves the log as it was before, as
   * far as readers see.
   */
  public void write(List<byte[]> records) throws IOException {
    if (tailUncertain || replacementUncertain || out == null) {
      recover();
    }
    ByteBuffer bytes = LogFrames.frames(records);
    final int size = bytes.remaining();
    tailUncertain = true;
    writeFully(out, bytes);
    out.sync();
    tailUncertain = false;
    length += size;
  }

  /**
   * After a failure: goes on in the file that the next {@link #open} would find, and cuts off what
   * a write may have left there.
   */
  private void recover() throws IOException {
    close();
    if (replacementUncertain) {
      finishReplacement();
    }
    files.truncate(currentFile(), length);
    out = files.append(currentFile());
    tailUncertain = false;
  }

  private static void writeFully(FileSystemPort.AppendFile file, ByteBuffer bytes)
      throws IOException {
    int emptyWrites = 0;
    while (bytes.hasRemaining()) {
      int before = bytes.remaining();
      file.write(bytes);
      emptyWrites = bytes.remaining() < before ? 0 : emptyWrites + 1;
      if (emptyWrites == MAX_EMPTY_WRITES) {
        throw new IOException("the file takes no more bytes");
      }
    }
  }

  /**
   * Begins a new file with these records, which replace all before; the old file is deleted once
   * the new one is durable.
   */
  public void compact(List<byte[]> records) throws IOException {
    files.delete(NEXT_FILE);
    ByteBuffer bytes = LogFrames.file(records);
    int size = bytes.remaining();
    try (FileSystemPort.AppendFile next = files.append(NEXT_FILE)) {
      writeFully(next, bytes);
      next.sync();
    }
    replacementLength = size;
    replacementUncertain = true;
    files.rename(NEXT_FILE, nameOf(fileNumber + 1));
    close();
    finishReplacement();
    tailUncertain = false;
    out = files.append(currentFile());
  }

  /**
   * Goes over to the new file if it is there. Nothing more is written before the directory is
   * durable: the next process must find the very file that the last records went to.
   */
  private void finishReplacement() throws IOException {
    boolean replaced = files.fileNames().contains(nameOf(fileNumber + 1));
    files.syncDirectory();
    replacementUncertain = false;
    if (!replaced) {
      return;
    }
    String oldFile = currentFile();
    boolean hadFile = fileNumber > 0;
    fileNumber++;
    length = replacementLength;
    if (hadFile) {
      files.delete(oldFile);
    }
  }

  /** Bytes of the current file that hold complete records. */
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
