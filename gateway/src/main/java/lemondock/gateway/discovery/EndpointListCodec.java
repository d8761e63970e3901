package lemondock.gateway.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import lemondock.dispatch.Endpoint;
import lemondock.gateway.settings.SettingsFile;
import lemondock.policy.ServerLifecycle;

/**
 * The two forms in which lists of servers are written: the project's file and Consul's health API.
 * No I/O.
 */
public final class EndpointListCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private EndpointListCodec() {}

  /** A list that cannot be read; the message says what and where. */
  public static final class MalformedListException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedListException(String message) {
      super(message);
    }
  }

  /** Reads {@code {"servers": [...]}}. */
  public static List<Endpoint> ofFile(byte[] text) throws MalformedListException {
    JsonNode servers = tree(text).get("servers");
    if (servers == null || !servers.isArray()) {
      throw new MalformedListException("/servers: expected an array, found " + servers);
    }
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < servers.size(); i++) {
      JsonNode s = servers.get(i);
      String at = "/servers/" + i;
      entries.add(
          new Endpoint(
              text(s, "name", at),
              address(text(s, "address", at), at + "/address"),
              text(s, "kind", at),
              s.path("zone").asText("default"),
              s.path("rack").asText("0"),
              standing(s.path("standing").asText("ready"), at + "/standing"),
              weight(s.path("weight"), at),
              s.path("startedAt").asLong(0)));
    }
    return entries;
  }

  /** Writes what {@link #ofFile} reads; used for the cache. */
  public static byte[] toFile(List<Endpoint> entries) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ArrayNode servers = root.putArray("servers");
    for (Endpoint e : entries) {
      servers
          .addObject()
          .put("name", e.name())
          .put("address", e.address().getHostString() + ":" + e.address().getPort())
          .put("kind", e.kind())
          .put("zone", e.zone())
          .put("rack", e.rack())
          .put("standing", e.standing().name().toLowerCase(Locale.ROOT))
          .put("weight", e.weight())
          .put("startedAt", e.startedAt());
    }
    return root.toPrettyString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  /**
   * Reads the answer of Consul's {@code /v1/health/service/NAME}. Kind, zone, rack and start come
   * from the service's Meta. A check in maintenance, or Meta {@code draining=true}, drains; another
   * critical check means gone.
   */
  public static List<Endpoint> ofConsul(byte[] text) throws MalformedListException {
    JsonNode root = tree(text);
    if (!root.isArray()) {
      throw new MalformedListException("/: expected an array of services");
    }
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < root.size(); i++) {
      JsonNode service = root.get(i).path("Service");
      String at = "/" + i + "/Service";
      JsonNode meta = service.path("Meta");
      String host = service.path("Address").asText("");
      if (host.isEmpty()) {
        host = root.get(i).path("Node").path("Address").asText("");
      }
      entries.add(
          new Endpoint(
              text(service, "ID", at),
              address(host + ":" + service.path("Port").asInt(0), at + "/Address"),
              text(meta, "kind", at + "/Meta"),
              meta.path("zone").asText("default"),
              meta.path("rack").asText("0"),
              standing(meta, root.get(i).path("Checks")),
              weight(service.path("Weights").path("Passing"), at + "/Weights/Passing"),
              meta.path("started").asLong(0)));
    }
    return entries;
  }

  private static ServerLifecycle standing(JsonNode meta, JsonNode checks) {
    boolean draining = meta.path("draining").asText("").equals("true");
    for (JsonNode check : checks) {
      if (check.path("Status").asText("").equals("critical")) {
        String id = check.path("CheckID").asText("");
        if (!id.startsWith("_service_maintenance") && !id.startsWith("_node_maintenance")) {
          return ServerLifecycle.GONE;
        }
        draining = true;
      }
    }
    return draining ? ServerLifecycle.DRAINING : ServerLifecycle.READY;
  }

  private static ServerLifecycle standing(String name, String at) throws MalformedListException {
    try {
      return ServerLifecycle.valueOf(name.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new MalformedListException(at + ": expected ready, draining or gone, found " + name);
    }
  }

  private static JsonNode tree(byte[] text) throws MalformedListException {
    try {
      JsonNode root = MAPPER.readTree(text);
      if (root == null || root.isMissingNode()) {
        throw new MalformedListException("expected JSON, found nothing");
      }
      return root;
    } catch (java.io.IOException e) {
      throw new MalformedListException(
          "expected JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }
  }

  private static String text(JsonNode node, String name, String at) throws MalformedListException {
    JsonNode value = node.get(name);
    if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
      throw new MalformedListException(at + "/" + name + ": expected a text, found " + value);
    }
    return value.textValue();
  }

  private static double weight(JsonNode node, String at) throws MalformedListException {
    double weight = node.isMissingNode() ? 1 : node.asDouble(Double.NaN);
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new MalformedListException(at + ": expected a weight above 0, found " + node);
    }
    return weight;
  }

  private static InetSocketAddress address(String text, String at) throws MalformedListException {
    try {
      InetSocketAddress address = SettingsFile.address(text);
      if (address.getPort() > 0 && !address.isUnresolved()) {
        return address;
      }
    } catch (RuntimeException e) {
      // reported below
    }
    throw new MalformedListException(at + ": expected HOST:PORT, found " + text);
  }
}
