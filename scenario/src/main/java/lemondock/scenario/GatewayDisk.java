package lemondock.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.LockedDirectory;
import lemondock.net.nio.WorkerPool;

/** A gateway's disk worker thread and the folder of its idempotency log, if it has one. */
final class GatewayDisk implements AutoCloseable {
  private static final int QUEUE_SIZE = 64;
  private static final long STOP_SECONDS = 30;

  private final ExecutorService worker;
  private final Optional<LockedDirectory> folder;

  private GatewayDisk(ExecutorService worker, Optional<LockedDirectory> folder) {
    this.worker = worker;
    this.folder = folder;
  }

  static GatewayDisk open(GatewaySettings settings) {
    ExecutorService worker = WorkerPool.create(1, QUEUE_SIZE, settings.name() + "-disk");
    if (settings.durable() == null) {
      return new GatewayDisk(worker, Optional.empty());
    }
    try {
      return new GatewayDisk(
          worker, Optional.of(new LockedDirectory(Path.of(settings.durable().path()))));
    } catch (IOException e) {
      worker.shutdownNow();
      throw new UncheckedIOException(e);
    }
  }

  Executor worker() {
    return worker;
  }

  Optional<LockedDirectory> folder() {
    return folder;
  }

  /** Discards writes that are still queued, since a killed process would not perform them. */
  @Override
  public void close() {
    worker.shutdownNow();
    try {
      if (!worker.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            "the disk worker did not terminate within " + STOP_SECONDS + " s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try {
      if (folder.isPresent()) {
        folder.get().close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
