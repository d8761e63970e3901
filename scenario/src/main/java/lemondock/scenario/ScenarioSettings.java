package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Settings that the gateways of a fault scenario share. Their times are short, so that a scenario
 * takes only seconds.
 */
public final class ScenarioSettings {
  private ScenarioSettings() {}

  /** The request classes of a scenario. */
  public static List<GatewaySettings.ClassSettings> requestClasses() {
    return sharedSettings().classes();
  }

  /** Classes and rules that all gateways share; no gateway is started with these settings. */
  static GatewaySettings sharedSettings() {
    return gateway("model", 0, 1, "north", 1, "127.0.0.1:1");
  }

  /** Settings of one gateway. */
  static GatewaySettings gateway(
      String name, int number, int gatewayCount, String zone, int port, String catalogue) {
    return gateway(name, number, gatewayCount, zone, port, catalogue, root -> {});
  }

  /** Settings of one gateway; {@code changes} edits the JSON before it is validated. */
  static GatewaySettings gateway(
      String name,
      int number,
      int gatewayCount,
      String zone,
      int port,
      String catalogue,
      Consumer<ObjectNode> changes) {
    return LoopbackSettings.gateway(
        name,
        number,
        gatewayCount,
        zone,
        port,
        catalogue,
        root -> {
          addRequestClasses(root.putArray("classes"));
          shortenTimes(root);
          root.put("seed", 1000 + number);
          changes.accept(root);
        });
  }

  private static void addRequestClasses(ArrayNode classes) {
    LoopbackSettings.requestClass(classes, "sale-lookup", 1, 400, 1600, "safe")
        .put("tokenAimMs", 30);
    LoopbackSettings.requestClass(classes, "day-close", 3, 800, 3000, "safe")
        .put("tokenAimMs", 40)
        .put("toolTimeoutMs", 400);
    LoopbackSettings.requestClass(classes, "card-refund", 2, 500, 1600, "once")
        .put("tokenAimMs", 30);
    LoopbackSettings.requestClass(classes, "till-move", 2, 500, 1600, "keyed")
        .put("group", "zone")
        .put("repeatWindowMs", 1200)
        .put("tokenAimMs", 30);
  }

  private static void shortenTimes(ObjectNode root) {
    ((ObjectNode) root.get("front")).put("resumeWindowMs", 0);
    ((ObjectNode) root.get("rules"))
        .put("drainGraceMs", 300)
        .put("warmUpMs", 3000)
        .put("overloadWindowMs", 700);
    ((ObjectNode) root.get("engines")).put("streamSilenceMs", 1200);
  }
}
