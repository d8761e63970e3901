package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The files of one directory, as a log needs them; simulations with faults of their own implement
 * it too. Calls may block.
 */
public interface FileSystemPort {
  /** The names of the directory's files. */
  List<String> fileNames() throws IOException;

  /** The content of a file. */
  byte[] read(String name) throws IOException;

  /** Opens a file to append to it; creates it if it does not exist. */
  AppendFile append(String name) throws IOException;

  /** Cuts a file to that length, in bytes. */
  void truncate(String name, long length) throws IOException;

  /** Renames a file atomically; replaces a file that has the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Makes it durable which files were created, renamed and deleted. */
  void syncDirectory() throws IOException;

  /** A file that is open for appending. */
  interface AppendFile extends AutoCloseable {
    /** Writes some of the bytes, perhaps not all; advances the buffer by as many. */
    void write(ByteBuffer bytes) throws IOException;

    /** Makes durable what was written. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
