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
 * Keeps the endpoint registry and the router up to date with discovery, and the cached list with
 * both. Loop thread only, but for {@link #readCache}.
 */
final class EndpointListFollower {
  /** The log lines of the gateway's components are under its name. */
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

  /** The endpoints known, in their registry. */
  EndpointRegistry endpoints() {
    return endpoints;
  }

  /** Asks discovery for the whole list again. */
  void refresh() {
    source.refresh();
  }

  /** The endpoints that the last process knew; blocks on a file, so call it off the loop. */
  List<Endpoint> readCache() {
    return cache.read();
  }

  /** Tells the dispatcher of the cached endpoints, then of each list that discovery gives. */
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
      LOG.atWarn().addKeyValue("why", reason).log("the endpoint list cannot be fetched");
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
      LOG.atWarn().addKeyValue("why", reason).log("an entry of the endpoint list was skipped");
    }
    if (update.kind() != EndpointListKind.CHANGES || !update.servers().isEmpty()) {
      LOG.atInfo()
          .addKeyValue("changed", update.servers().size())
          .addKeyValue("listed", endpoints.size())
          .addKeyValue("kind", update.kind())
          .log("endpoint list");
      dispatcher.updateEndpoints(update.kind(), update.servers());
    }
  }
}
