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
 * Follows a file by polling it on a thread of its own; a file that cannot be read leaves the list
 * as it is. A problem is reported once, until the file can be read or has another problem.
 */
public final class FileEndpointList implements EndpointListSource {
  private static final long MAX_FILE_BYTES = 8 * 1024 * 1024;

  private final Loop loop;
  private final Path path;
  private final long pollIntervalMicros;

  /** Null before the start; loop thread only. */
  private ScheduledExecutorService poller;

  /** The content reported last, null before the first; the poller's thread only. */
  private byte[] lastContent;

  /** The problem reported last, empty if there was none since; the poller's thread only. */
  private String lastProblem = "";

  /** Makes a follower of the file that the settings name. */
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
    // the file is polled anyway
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
      report(listener, path + ": cannot be read: " + e.getMessage());
    }
  }

  private void readFile(Listener listener)
      throws IOException, EndpointListCodec.MalformedListException {
    if (Files.size(path) > MAX_FILE_BYTES) {
      throw new IOException("over " + MAX_FILE_BYTES + " bytes");
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
