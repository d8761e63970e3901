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
  private static final long MOST_BYTES = 8 * 1024 * 1024;

  private final Loop loop;
  private final Path path;
  private final long poll;
  private ScheduledExecutorService reader;
  private byte[] seen;
  private String problem = "";

  /** Makes a follower of the file that the settings name. */
  public FileEndpointList(Loop loop, GatewaySettings.Discovery settings) {
    this.loop = loop;
    this.path = Path.of(settings.path());
    this.poll = GatewaySettings.micros(settings.pollMs());
  }

  @Override
  public void start(Listener sink) {
    reader =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "lemondock-list");
              thread.setDaemon(true);
              return thread;
            });
    reader.scheduleWithFixedDelay(() -> look(sink), 0, poll, TimeUnit.MICROSECONDS);
  }

  @Override
  public void watch() {
    // the file is read on anyway
  }

  @Override
  public void stop() {
    if (reader != null) {
      reader.shutdownNow();
    }
  }

  private void look(Listener sink) {
    try {
      if (Files.size(path) > MOST_BYTES) {
        throw new IOException("over " + MOST_BYTES + " bytes");
      }
      byte[] text = Files.readAllBytes(path);
      if (!Arrays.equals(text, seen)) {
        List<Endpoint> entries = EndpointListCodec.ofFile(text);
        seen = text;
        loop.execute(() -> sink.whole(entries));
      }
      problem = "";
    } catch (IOException | EndpointListCodec.MalformedListException | RuntimeException e) {
      String what =
          path
              + ": "
              + (e instanceof EndpointListCodec.MalformedListException ? "" : "cannot be read: ")
              + e.getMessage();
      if (!what.equals(problem)) {
        problem = what;
        loop.execute(() -> sink.failed(what));
      }
    }
  }
}
