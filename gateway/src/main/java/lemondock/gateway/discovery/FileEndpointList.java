package lemondock.gateway.discovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import lemondock.dispatch.Endpoint;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;

/**
 * Follows a file by polling it on its own thread. While the file cannot be read, the list stays as
 * it is. A problem is reported once, until the file can be read again or has a different problem.
 */
public final class FileEndpointList implements EndpointListSource {
  private static final long MAX_FILE_BYTES = 8 * 1024 * 1024;

  private final Loop loop;
  private final Path path;
  private final long pollIntervalMicros;

  /** Null before the start; loop thread only. */
  private ScheduledExecutorService poller;

  /** The last content reported, null before the first; poller thread only. */
  private byte[] lastContent;

  /** The last problem reported, empty if the file was read since; poller thread only. */
  private String lastProblem = "";

  /** Creates a follower of the file that the settings name. */
  public FileEndpointList(Loop loop, GatewaySettings.Discovery settings) {
    this.loop = loop;
    this.path = Path.of(settings.path());
    this.pollIntervalMicros = GatewaySettings.micros(settings.pollMs());
  }

  @Override
  public void start(Listener listener) {
    poller =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "lemondock-list");
              thread.setDaemon(true);
              return thread;
            });
    poller.scheduleWithFixedDelay(
        () -> pollFile(listener), 0, pollIntervalMicros, TimeUnit.MICROSECONDS);
  }

  @Override
  public void refresh() {
    // nothing to do: the file is polled periodically
  }

  @Override
  public void stop() {
    if (poller != null) {
      poller.shutdownNow();
    }
  }

  private void pollFile(Listener listener) {
    try {
      readFile(listener);
      lastProblem = "";
    } catch (EndpointListCodec.MalformedListException e) {
      report(listener, path + ": " + e.getMessage());
    } catch (IOException | RuntimeException e) {
      report(listener, path + ": cannot read the file: " + e.getMessage());
    }
  }

  private void readFile(Listener listener)
      throws IOException, EndpointListCodec.MalformedListException {
    if (Files.size(path) > MAX_FILE_BYTES) {
      throw new IOException("expected at most " + MAX_FILE_BYTES + " bytes");
    }
    byte[] content = Files.readAllBytes(path);
    if (!Arrays.equals(content, lastContent)) {
      List<Endpoint> endpoints = EndpointListCodec.parseFile(content);
      lastContent = content;
      loop.execute(() -> listener.onList(endpoints));
    }
  }

  private void report(Listener listener, String problem) {
    if (!problem.equals(lastProblem)) {
      lastProblem = problem;
      loop.execute(() -> listener.onFailure(problem));
    }
  }
}
