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
 * A process with a gateway that ends at once, as by kill -9, at a given step of what it does to its
 * folder: before the step of that number, or by half, when half of the write of that number is
 * done. Arguments: settings, the number (0: never), whether by half.
 */
final class HaltingGateway {
  /** What a process that was killed by signal 9 is seen to end with. */
  static final int KILLED = 137;

  private static final int DISK_QUEUE = 64;

  private HaltingGateway() {}

  public static void main(String[] args) throws Exception {
    GatewaySettings settings = SettingsFile.readGateway(Path.of(args[0]));
    EmulatedProcess node = new EmulatedProcess("gateway", settings.ioThreads());
    FileSystemPort folder =
        new Halting(
            new LockedDirectory(Path.of(settings.durable().path())),
            Integer.parseInt(args[1]),
            Boolean.parseBoolean(args[2]));
    Gateway gateway =
        new Gateway(
            new GatewayEnvironment(
                node.loop(),
                node.network(),
                WorkerPool.create(1, DISK_QUEUE, "disk"),
                WorkerPool.create(
                    settings.overload().heavyThreads(), settings.overload().heavyQueue(), "worker"),
                new JvmProcessResources(),
                folder),
            settings,
            new PromptReader(settings.classes()),
            Gateway.DEFAULT_ROUTER_FACTORY);
    gateway.start();
    System.out.println("ready");
    TimeUnit.MINUTES.sleep(2); // whoever started it ends it long before
    Runtime.getRuntime().halt(1);
  }

  private static final class Halting extends ForwardingFiles {
    private final int at;
    private final boolean half;
    private int steps;

    Halting(FileSystemPort files, int at, boolean half) {
      super(files);
      this.at = at;
      this.half = half;
    }

    /** Whether this is the step. */
    private synchronized boolean now() {
      return ++steps == at;
    }

    private void step() {
      if (!half && now()) {
        Runtime.getRuntime().halt(KILLED);
      }
    }

    @Override
    public AppendFile append(String name) throws IOException {
      return new ForwardingOut(super.append(name)) {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
          if (now()) {
            if (half) {
              super.write(bytes.slice(bytes.position(), bytes.remaining() / 2));
            }
            Runtime.getRuntime().halt(KILLED);
          }
          super.write(bytes);
        }

        @Override
        public void sync() throws IOException {
          step();
          super.sync();
        }
      };
    }

    @Override
    public void truncate(String name, long length) throws IOException {
      step();
      super.truncate(name, length);
    }

    @Override
    public void rename(String from, String to) throws IOException {
      step();
      super.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
      step();
      super.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
      step();
      super.syncDirectory();
    }
  }
}
