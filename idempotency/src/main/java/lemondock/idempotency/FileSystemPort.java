package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations on the files of one directory that a log needs. Also implemented by simulations
 * that inject faults. Calls may block.
 */
public interface FileSystemPort {
  /** Returns the names of the directory's files. */
  List<String> fileNames() throws IOException;

  /** Reads the content of a file. */
  byte[] read(String name) throws IOException;

  /** Opens a file for appending; creates it if it does not exist. */
  AppendFile append(String name) throws IOException;

  /** Truncates a file to a length in bytes. */
  void truncate(String name, long length) throws IOException;

  /** Renames a file atomically; replaces a file that has the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Makes the creation, renaming and deletion of files durable. */
  void syncDirectory() throws IOException;

  /** A file that is open for appending. */
  interface AppendFile extends AutoCloseable {
    /** Writes some or all of the bytes; advances the buffer by the number written. */
    void write(ByteBuffer bytes) throws IOException;

    /** Makes the bytes written so far durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
