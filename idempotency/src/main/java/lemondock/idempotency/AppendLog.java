package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A write-ahead log: an append-only file of records, each with its length and checksum. Once {@link
 * #write} has returned, the next {@link #open} finds its records, even after a crash of the
 * process. A record whose write has not returned may be found or not, but never in part. {@link
 * #compact} bounds the size: it replaces the file by a new one that starts with all records still
 * needed. Methods block; one thread at a time.
 */
public final class AppendLog implements AutoCloseable {
  /** Maximum length of a record in bytes. */
  public static final int MAX_RECORD_BYTES = 1 << 20;

  private static final String NAME_PREFIX = "log-";
  private static final String NEXT_FILE = "next";
  private static final int MAX_EMPTY_WRITES = 8;

  private final FileSystemPort files;

  /** Number of the current file; 0 if there is none yet. */
  private long fileNumber;

  /** Bytes of the current file that hold complete records. */
  private long length;

  /**
   * Whether a write is in progress or has failed, so that the content of the file after {@link
   * #length} is unknown.
   */
  private boolean tailUncertain;

  /**
   * Whether a rename or the sync of the directory after it is in progress or has failed: a new file
   * may have replaced this one, and the changes to the directory may not be durable.
   */
  private boolean replacementUncertain;

  private long replacementLength;

  /** Null while no file is open. */
  private FileSystemPort.AppendFile output;

  /**
   * The result of {@link #open}.
   *
   * @param records number of complete records
   * @param truncatedBytes number of bytes after the last complete record, which were cut off
   * @param file name of the current log file
   */
  public record OpenResult(long records, long truncatedBytes, String file) {}

  /** Creates a log in a directory; {@link #open} must be called before {@link #write}. */
  public AppendLog(FileSystemPort files) {
    this.files = files;
  }

  /**
   * Passes all complete records to the consumer, truncates the file after them and opens it for
   * writing.
   *
   * @throws LogFormatException if the newest file is not a log file
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
    output = files.append(currentFile());
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
    ByteBuffer bytes = LogFrames.contentAfterMagic(currentFile(), content);
    long records = 0;
    length = bytes.position();
    Optional<ByteBuffer> record = LogFrames.readNext(bytes);
    while (record.isPresent()) {
      consumer.accept(record.get());
      records++;
      length = bytes.position();
      record = LogFrames.readNext(bytes);
    }
    return records;
  }

  /** Deletes the files that an interrupted compaction has left. */
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
   * Writes records together and makes them durable. A failed write may leave some of its records in
   * the file; the next write first cuts them off.
   */
  public void write(List<byte[]> records) throws IOException {
    if (tailUncertain || replacementUncertain || output == null) {
      recover();
    }
    ByteBuffer bytes = LogFrames.encodeFrames(records);
    final int size = bytes.remaining();
    tailUncertain = true;
    writeFully(output, bytes);
    output.sync();
    tailUncertain = false;
    length += size;
  }

  /**
   * Recovers from a failure: continues in the file that the next {@link #open} would find, and cuts
   * off what a failed write may have left there.
   */
  private void recover() throws IOException {
    close();
    if (replacementUncertain) {
      finishReplacement();
    }
    files.truncate(currentFile(), length);
    output = files.append(currentFile());
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
        throw new IOException(
            "the file accepted no bytes in "
                + MAX_EMPTY_WRITES
                + " writes, "
                + before
                + " bytes are left to write");
      }
    }
  }

  /**
   * Starts a new file with these records, which replace all earlier ones. The old file is deleted
   * once the new one is durable.
   */
  public void compact(List<byte[]> records) throws IOException {
    files.delete(NEXT_FILE);
    ByteBuffer bytes = LogFrames.encodeFile(records);
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
    output = files.append(currentFile());
  }

  /**
   * Switches to the new file if it exists. Nothing is written before the directory has been synced,
   * because the next process must find the file that the last records were written to.
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
    if (output != null) {
      output.close();
      output = null;
    }
  }
}
