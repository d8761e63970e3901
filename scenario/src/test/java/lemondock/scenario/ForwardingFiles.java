package lemondock.scenario;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import lemondock.idempotency.FileSystemPort;

/** Forwards every operation to another directory; tests override some of them to inject faults. */
class ForwardingFiles implements FileSystemPort {
  private final FileSystemPort files;

  /** Forwards every operation to another open file. */
  static class ForwardingOut implements AppendFile {
    private final AppendFile out;

    ForwardingOut(AppendFile out) {
      this.out = out;
    }

    @Override
    public void write(ByteBuffer bytes) throws IOException {
      out.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      out.sync();
    }

    @Override
    public void close() throws IOException {
      out.close();
    }
  }

  ForwardingFiles(FileSystemPort files) {
    this.files = files;
  }

  @Override
  public List<String> fileNames() throws IOException {
    return files.fileNames();
  }

  @Override
  public byte[] read(String name) throws IOException {
    return files.read(name);
  }

  @Override
  public AppendFile append(String name) throws IOException {
    return files.append(name);
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    files.truncate(name, length);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    files.rename(from, to);
  }

  @Override
  public void delete(String name) throws IOException {
    files.delete(name);
  }

  @Override
  public void syncDirectory() throws IOException {
    files.syncDirectory();
  }
}
