package lemondock.gateway.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import lemondock.dispatch.Endpoint;
import lemondock.gateway.settings.SettingsFile;
import lemondock.policy.ServerLifecycle;

/**
 * Parses and formats endpoint lists in the project's file format, and parses responses of Consul's
 * health API. Host names are resolved while a list is parsed, which may block. Safe for any thread.
 */
public final class EndpointListCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DEFAULT_ZONE = "default";
  private static final String DEFAULT_RACK = "0";

  private EndpointListCodec() {}

  /**
   * Thrown if a list cannot be parsed; the message names the place, what was expected and what was
   * found.
   */
  public static final class MalformedListException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedListException(String message) {
      super(message);
    }
  }

  /**
   * Parses the project's file format, {@code {"servers": [...]}}.
   *
   * @throws MalformedListException if the text is not an endpoint list, or an entry is invalid
   */
  public static List<Endpoint> parseFile(byte[] text) throws MalformedListException {
    JsonNode servers = parseJson(text).get("servers");
    if (servers == null || !servers.isArray()) {
      throw new MalformedListException("/servers: expected an array, found " + servers);
    }
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < servers.size(); i++) {
      endpoints.add(fileEndpoint(servers.get(i), "/servers/" + i));
    }
    return endpoints;
  }

  private static Endpoint fileEndpoint(JsonNode server, String pointer)
      throws MalformedListException {
    return new Endpoint(
        requiredText(server, "name", pointer),
        address(requiredText(server, "address", pointer), pointer + "/address"),
        requiredText(server, "kind", pointer),
        server.path("zone").asText(DEFAULT_ZONE),
        server.path("rack").asText(DEFAULT_RACK),
        lifecycle(server.path("standing").asText("ready"), pointer + "/standing"),
        weight(server.path("weight"), pointer),
        server.path("startedAt").asLong(0));
  }

  /** Formats endpoints as {@link #parseFile} parses them; used for the cache. */
  public static byte[] formatFile(List<Endpoint> endpoints) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ArrayNode servers = root.putArray("servers");
    for (Endpoint endpoint : endpoints) {
      servers
          .addObject()
          .put("name", endpoint.name())
          .put("address", endpoint.address().getHostString() + ":" + endpoint.address().getPort())
          .put("kind", endpoint.kind())
          .put("zone", endpoint.zone())
          .put("rack", endpoint.rack())
          .put("standing", endpoint.lifecycle().name().toLowerCase(Locale.ROOT))
          .put("weight", endpoint.weight())
          .put("startedAt", endpoint.startedAtMillis());
    }
    return root.toPrettyString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Parses the response of Consul's {@code /v1/health/service/NAME}. Kind, zone, rack and start
   * time come from the service's Meta. A critical maintenance check, or Meta {@code draining=true},
   * means draining; any other critical check means gone.
   *
   * @throws MalformedListException if the text is not such a response, or a service in it is
   *     invalid
   */
  public static List<Endpoint> parseConsul(byte[] text) throws MalformedListException {
    JsonNode root = parseJson(text);
    if (!root.isArray()) {
      throw new MalformedListException("/: expected an array of services");
    }
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < root.size(); i++) {
      endpoints.add(consulEndpoint(root.get(i), "/" + i + "/Service"));
    }
    return endpoints;
  }

  private static Endpoint consulEndpoint(JsonNode entry, String pointer)
      throws MalformedListException {
    JsonNode service = entry.path("Service");
    JsonNode meta = service.path("Meta");
    String host = service.path("Address").asText("");
    if (host.isEmpty()) {
      host = entry.path("Node").path("Address").asText("");
    }
    return new Endpoint(
        requiredText(service, "ID", pointer),
        address(host + ":" + service.path("Port").asInt(0), pointer + "/Address"),
        requiredText(meta, "kind", pointer + "/Meta"),
        meta.path("zone").asText(DEFAULT_ZONE),
        meta.path("rack").asText(DEFAULT_RACK),
        lifecycle(meta, entry.path("Checks")),
        weight(service.path("Weights").path("Passing"), pointer + "/Weights/Passing"),
        meta.path("started").asLong(0));
  }

  private static ServerLifecycle lifecycle(JsonNode meta, JsonNode checks) {
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

  private static ServerLifecycle lifecycle(String name, String pointer)
      throws MalformedListException {
    try {
      return ServerLifecycle.valueOf(name.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new MalformedListException(
          pointer + ": expected ready, draining or gone, found " + name);
    }
  }

  private static JsonNode parseJson(byte[] text) throws MalformedListException {
    try {
      JsonNode root = MAPPER.readTree(text);
      if (root == null || root.isMissingNode()) {
        throw new MalformedListException("expected JSON, found nothing");
      }
      return root;
    } catch (IOException e) {
      throw new MalformedListException(
          "expected JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }
  }

  private static String requiredText(JsonNode node, String name, String pointer)
      throws MalformedListException {
    JsonNode value = node.get(name);
    if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
      throw new MalformedListException(
          pointer + "/" + name + ": expected a non-empty string, found " + value);
    }
    return value.textValue();
  }

  private static double weight(JsonNode node, String pointer) throws MalformedListException {
    double weight = node.isMissingNode() ? 1 : node.asDouble(Double.NaN);
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new MalformedListException(pointer + ": expected a weight above 0, found " + node);
    }
    return weight;
  }

  private static InetSocketAddress address(String text, String pointer)
      throws MalformedListException {
    try {
      InetSocketAddress address = SettingsFile.resolveAddress(text);
      if (address.getPort() > 0 && !address.isUnresolved()) {
        return address;
      }
    } catch (RuntimeException e) {
      // the exception below reports it
    }
    throw new MalformedListException(pointer + ": expected HOST:PORT, found " + text);
  }
}
