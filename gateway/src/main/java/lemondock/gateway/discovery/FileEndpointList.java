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
 * Follows a file by reading it now and then on a thread of its own; what cannot be read leaves the
 * list as it is.
 */
public final class FileEndpointList implements EndpointListSource {
  private static final long MAX_FILE_BYTES = 8 * 1024 * 1024;

  private final Loop loop;
  private final Path path;
  private final long pollIntervalMicros;
  private ScheduledExecutorService reader;
  private byte[] lastContent;
  private String lastProblem = "";

  /** Makes a follower of the file that the settings name. */
  public FileEndpointList(Loop loop, GatewaySettings.Discovery settings) {
    this.loop = loop;
    this.path = Path.of(settings.path());
    this.pollIntervalMicros = GatewaySettings.micros(settings.pollMs());
  }

  @Override
  public void start(Listener listener) {
    reader =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "lemondock-list");
              thread.setDaemon(true);
              return thread;
            });
    reader.scheduleWithFixedDelay(
        () -> pollFile(listener), 0, pollIntervalMicros, TimeUnit.MICROSECONDS);
  }

  @Override
  public void refresh() {
    // the file is read on anyway
  }

  @Override
  public void stop() {
    if (reader != null) {
      reader.shutdownNow();
    }
  }

  private void pollFile(Listener listener) {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw new IOException("over " + MAX_FILE_BYTES + " bytes");
      }
      byte[] content = Files.readAllBytes(path);
      if (!Arrays.equals(content, lastContent)) {
        List<Endpoint> endpoints = EndpointListCodec.parseFile(content);
        lastContent = content;
        loop.execute(() -> listener.onList(endpoints));
      }
      lastProblem = "";
    } catch (IOException | EndpointListCodec.MalformedListException | RuntimeException e) {
      String problem =
          path
              + ": "
              + (e instanceof EndpointListCodec.MalformedListException ? "" : "cannot be read: ")
              + e.getMessage();
      if (!problem.equals(lastProblem)) {
        lastProblem = problem;
        loop.execute(() -> listener.onFailure(problem));
      }
    }
  }
}
