package lemondock.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EndpointRegistry;
import lemondock.dispatch.EndpointUpdate;
import lemondock.dispatch.RequestDispatcher;
import lemondock.gateway.discovery.EndpointListCodec;
import lemondock.gateway.discovery.EndpointListSource;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.policy.EndpointListKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the endpoint lists of discovery to the endpoint registry and the router, and writes each
 * list to the cache. Loop thread only, except for {@link #readCache}.
 */
final class EndpointListFollower {
  /** Uses the logger of {@link Gateway}, so that these lines appear under its name. */
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  private final Loop loop;
  private final DiskTasks disk;
  private final EndpointRegistry endpoints;
  private final EndpointListSource source;
  private final EndpointListCache cache;

  EndpointListFollower(
      GatewayEnvironment environment,
      GatewaySettings settings,
      DiskTasks disk,
      EndpointListSource source) {
    this.loop = environment.loop();
    this.disk = disk;
    this.source = source;
    this.endpoints =
        new EndpointRegistry(settings.kinds().stream().map(GatewaySettings.Kind::name).toList());
    this.cache = new EndpointListCache(settings.discovery().cache());
  }

  /** The registry of known endpoints. */
  EndpointRegistry endpoints() {
    return endpoints;
  }

  /** Asks discovery for the complete list again. */
  void refresh() {
    source.refresh();
  }

  /** The endpoints that an earlier process cached; blocks on a file, so call it off the loop. */
  List<Endpoint> readCache() {
    return cache.read();
  }

  /** Passes the cached endpoints to the dispatcher, then each list from discovery. */
  void start(
      List<Endpoint> cached, RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher) {
    apply(cached, true, dispatcher);
    source.start(new SourceListener(dispatcher));
  }

  void stop() {
    source.stop();
  }

  private final class SourceListener implements EndpointListSource.Listener {
    private final RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher;

    SourceListener(RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher) {
      this.dispatcher = dispatcher;
    }

    @Override
    public void onList(List<Endpoint> listed) {
      apply(listed, false, dispatcher);
      if (cache.enabled()) {
        byte[] content = EndpointListCodec.formatFile(endpoints.endpoints());
        disk.runOrDrop(() -> cache.write(content));
      }
    }

    @Override
    public void onFailure(String reason) {
      LOG.atWarn()
          .addKeyValue("why", reason)
          .log("cannot fetch the endpoint list; keeping the previous one");
      endpoints.requireFullUpdate();
      dispatcher.updateEndpoints(EndpointListKind.FAILED, List.of());
    }
  }

  private void apply(
      List<Endpoint> listed,
      boolean fromCache,
      RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher) {
    EndpointUpdate update = endpoints.update(listed, fromCache, loop.now(), loop.wallMillis());
    for (String reason : update.skipped()) {
      LOG.atWarn().addKeyValue("why", reason).log("skipped an entry of the endpoint list");
    }
    if (update.kind() != EndpointListKind.CHANGES || !update.servers().isEmpty()) {
      LOG.atInfo()
          .addKeyValue("changed", update.servers().size())
          .addKeyValue("listed", endpoints.size())
          .addKeyValue("kind", update.kind())
          .log("endpoint list updated");
      dispatcher.updateEndpoints(update.kind(), update.servers());
    }
  }
}
