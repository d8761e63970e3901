package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts service instances to and from the JSON of Consul's HTTP API. */
final class ConsulJson {
  private ConsulJson() {}

  /** Encodes the response body of {@code /v1/health/service}. */
  static byte[] healthResponse(List<CatalogueEmulator.Service> services) {
    ArrayNode entries = JsonNodeFactory.instance.arrayNode();
    services.forEach(service -> putEntry(entries.addObject(), service));
    return entries.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void putEntry(ObjectNode entry, CatalogueEmulator.Service service) {
    entry.putObject("Node").put("Node", "standin").put("Address", service.address());
    ObjectNode description =
        entry
            .putObject("Service")
            .put("ID", service.id())
            .put("Service", service.service())
            .put("Address", service.address())
            .put("Port", service.port());
    ObjectNode meta = description.putObject("Meta");
    service.meta().forEach(meta::put);
    description.putObject("Weights").put("Passing", service.weight()).put("Warning", 1);
    ArrayNode checks = entry.putArray("Checks");
    if (service.maintenance()) {
      checks
          .addObject()
          .put("CheckID", "_service_maintenance:" + service.id())
          .put("Status", "critical");
    }
  }

  /** Parses the body of {@code /v1/agent/service/register}, which must have a name and port. */
  static CatalogueEmulator.Service parseRegistration(JsonNode body) {
    String name = body.path("Name").asText("");
    Map<String, String> meta = new LinkedHashMap<>();
    body.path("Meta")
        .properties()
        .forEach(entry -> meta.put(entry.getKey(), entry.getValue().asText()));
    return new CatalogueEmulator.Service(
        body.path("ID").asText(name),
        name,
        body.path("Address").asText("127.0.0.1"),
        body.path("Port").asInt(0),
        meta,
        false,
        body.path("Weights").path("Passing").asInt(1));
  }
}
