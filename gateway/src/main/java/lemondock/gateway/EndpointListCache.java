package lemondock.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lemondock.dispatch.Endpoint;
import lemondock.gateway.discovery.EndpointListCodec;
import lemondock.gateway.files.AtomicFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The endpoint list cached on disk, so that a gateway that restarts while its catalogue is
 * unavailable knows the servers of the last list. {@link #read} and {@link #write} block on files:
 * call them off the loop.
 */
final class EndpointListCache {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);

  private final String file;

  /** Creates a cache in the given file; null disables it. */
  EndpointListCache(String file) {
    this.file = file;
  }

  /** Whether the settings name a cache file. */
  boolean enabled() {
    return file != null;
  }

  /**
   * The cached endpoints; empty if the file does not exist or cannot be read, for example because
   * it is truncated.
   */
  List<Endpoint> read() {
    if (file == null || !Files.exists(Path.of(file))) {
      return List.of();
    }
    try {
      return EndpointListCodec.parseFile(Files.readAllBytes(Path.of(file)));
    } catch (IOException | EndpointListCodec.MalformedListException e) {
      LOG.warn("the cached endpoint list {} cannot be read: {}", file, e.getMessage());
      return List.of();
    }
  }

  /**
   * Replaces the file atomically. A failure is only logged, because the gateway can serve without
   * the cache.
   */
  void write(byte[] content) {
    try {
      AtomicFile.replace(Path.of(file), content);
    } catch (IOException | UncheckedIOException e) {
      LOG.warn("the endpoint list cannot be cached in {}: {}", file, e.getMessage());
    }
  }
}
