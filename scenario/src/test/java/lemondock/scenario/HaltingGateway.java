package lemondock.scenario;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import lemondock.gateway.Gateway;
import lemondock.gateway.GatewayEnvironment;
import lemondock.gateway.JvmProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.idempotency.FileSystemPort;
import lemondock.idempotency.LockedDirectory;
import lemondock.net.nio.WorkerPool;

/**
 * A gateway process that halts, as after kill -9, at a given step of its changes to its idempotency
 * directory. Steps are numbered from 1; it halts before the given step or, for a partial write,
 * after half of the bytes of that write. Arguments: settings file, number of the step (0: never
 * halts), whether to halt after half of a write.
 */
final class HaltingGateway {
  /** Exit code of a process that signal 9 killed: 128 + 9. */
  static final int KILLED = 137;

  private static final int DISK_QUEUE_CAPACITY = 64;

  private HaltingGateway() {}

  public static void main(String[] args) throws Exception {
    GatewaySettings settings = SettingsFile.readGateway(Path.of(args[0]));
    EmulatedProcess process = new EmulatedProcess("gateway", settings.ioThreads());
    FileSystemPort directory =
        new HaltingFiles(
            new LockedDirectory(Path.of(settings.durable().path())),
            Integer.parseInt(args[1]),
            Boolean.parseBoolean(args[2]));
    Gateway gateway =
        new Gateway(
            new GatewayEnvironment(
                process.loop(),
                process.network(),
                WorkerPool.create(1, DISK_QUEUE_CAPACITY, "disk"),
                WorkerPool.create(
                    settings.overload().heavyThreads(), settings.overload().heavyQueue(), "worker"),
                new JvmProcessResources(),
                directory),
            settings,
            new PromptReader(settings.classes()),
            Gateway.DEFAULT_ROUTER_FACTORY);
    gateway.start();
    System.out.println("ready");
    TimeUnit.MINUTES.sleep(2); // the test that started the process kills it long before this
    Runtime.getRuntime().halt(1);
  }

  /** Counts the changes to the directory and halts the process at the given one. */
  private static final class HaltingFiles extends ForwardingFiles {
    private final int haltAtStep;
    private final boolean isPartialWrite;
    private int stepCount;

    HaltingFiles(FileSystemPort files, int haltAtStep, boolean isPartialWrite) {
      super(files);
      this.haltAtStep = haltAtStep;
      this.isPartialWrite = isPartialWrite;
    }

    /** Counts a step; returns whether the process halts at it. Any thread. */
    private synchronized boolean isHaltStep() {
      return ++stepCount == haltAtStep;
    }

    /** Counts an operation other than a write, unless only writes count, and halts at its step. */
    private void countStep() {
      if (!isPartialWrite && isHaltStep()) {
        Runtime.getRuntime().halt(KILLED);
      }
    }

    @Override
    public AppendFile append(String name) throws IOException {
      return new ForwardingOut(super.append(name)) {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
          if (isHaltStep()) {
            if (isPartialWrite) {
              super.write(bytes.slice(bytes.position(), bytes.remaining() / 2));
            }
            Runtime.getRuntime().halt(KILLED);
          }
          super.write(bytes);
        }

        @Override
        public void sync() throws IOException {
          countStep();
          super.sync();
        }
      };
    }

    @Override
    public void truncate(String name, long length) throws IOException {
      countStep();
      super.truncate(name, length);
    }

    @Override
    public void rename(String from, String to) throws IOException {
      countStep();
      super.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
      countStep();
      super.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
      countStep();
      super.syncDirectory();
    }
  }
}
