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
 * The endpoint list cached on disk, so that a gateway which restarts while its catalogue is down
 * knows the servers of the last list. Both methods block on files: call them off the loop.
 */
final class EndpointListCache {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);

  private final String file;

  /** Makes a cache in a file; with null nothing is cached. */
  EndpointListCache(String file) {
    this.file = file;
  }

  /** Whether the settings name a file. */
  boolean enabled() {
    return file != null;
  }

  /** The cached endpoints; none if there is no file or it cannot be read, as after a cut-off. */
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

  /** Replaces the file atomically; a failure is logged, for the gateway serves on without it. */
  void write(byte[] content) {
    try {
      AtomicFile.replace(Path.of(file), content);
    } catch (IOException | UncheckedIOException e) {
      LOG.warn("the endpoint list cannot be cached in {}: {}", file, e.getMessage());
    }
  }
}
