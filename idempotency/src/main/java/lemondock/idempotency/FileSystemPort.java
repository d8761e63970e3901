package lemondock.idempotency;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder of files, as a log needs it; a simulation puts its own here, with its own faults. May
 * block.
 */
public interface FileSystemPort {
  /** Names in the folder. */
  List<String> names() throws IOException;

  /** The whole of a file. */
  byte[] read(String name) throws IOException;

  /** Opens a file to write behind what it holds; makes it if there is none. */
  Out append(String name) throws IOException;

  /** Cuts a file to that length. */
  void truncate(String name, long length) throws IOException;

  /** Gives a file another name, in one step, in place of any that has it. */
  void rename(String from, String to) throws IOException;

  /** Removes a file. */
  void delete(String name) throws IOException;

  /** Makes names durable: files made, renamed and removed. */
  void syncFolder() throws IOException;

  /** A file open for writing. */
  interface Out extends AutoCloseable {
    /** Writes some of the bytes, perhaps not all; advances the buffer by as many. */
    void write(ByteBuffer bytes) throws IOException;

    /** Makes durable what was written. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
