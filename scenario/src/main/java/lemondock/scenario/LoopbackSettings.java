package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;

/**
 * Builds settings of gateways on loopback addresses for the demo, scenarios, benchmarks and tests.
 */
public final class LoopbackSettings {
  private LoopbackSettings() {}

  /**
   * Settings of a gateway that discovers its servers from a catalogue.
   *
   * @param number index of the gateway, from 0 to below {@code gatewayCount}
   * @param catalogue {@code HOST:PORT}
   * @param changes edits the JSON before it is validated
   * @throws IllegalArgumentException if the settings are not valid
   */
  public static GatewaySettings gateway(
      String name,
      int number,
      int gatewayCount,
      String zone,
      int port,
      String catalogue,
      Consumer<ObjectNode> changes) {
    ObjectNode root =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", name)
            .put("number", number)
            .put("gateways", gatewayCount)
            .put("zone", zone);
    root.putObject("front").put("listen", "127.0.0.1:" + port);
    root.putObject("discovery")
        .put("kind", "consul")
        .put("address", catalogue)
        .put("retryMs", 50)
        .put("waitMs", 2000);
    ArrayNode classes = root.putArray("classes");
    requestClass(classes, "sale-lookup", 1, 1200, 5000, "safe")
        .put("description", "Answers a question about a sale, payment or receipt");
    requestClass(classes, "day-close", 3, 3000, 12000, "safe")
        .put("description", "Redrafts the note of a day's close");
    ArrayNode kinds = root.putArray("kinds");
    kinds.addObject().put("name", "reader").put("role", "reader").put("memoryTokens", 200_000);
    kinds.addObject().put("name", "writer").put("role", "writer").put("memoryTokens", 200_000);
    kinds.addObject().put("name", "mixed").put("role", "mixed").put("memoryTokens", 200_000);
    root.putObject("rules");
    root.putObject("limits").put("stopNoticeMs", 0);
    root.putObject("engines");
    root.putObject("overload")
        .put("targetMs", 200); // long, since the whole fleet shares one newly started process
    changes.accept(root);
    try {
      return SettingsFile.readGateway(name, root);
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /** Appends a request class and returns its JSON, so that more settings can be added. */
  public static ObjectNode requestClass(
      ArrayNode classes,
      String name,
      double worth,
      double aimMs,
      double deadlineMs,
      String repeat) {
    return classes
        .addObject()
        .put("name", name)
        .put("worth", worth)
        .put("aimMs", aimMs)
        .put("deadlineMs", deadlineMs)
        .put("lateWorth", 0.2)
        .put("repeat", repeat)
        .put("maxTokens", 500);
  }
}
