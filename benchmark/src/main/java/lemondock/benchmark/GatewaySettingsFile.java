package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;

/**
 * The settings file of a gateway under test. By default it has limits that no benchmark reaches,
 * one request class with loose latency objectives, and an endpoint list of engines in a file. Parts
 * of it can be replaced before it is written.
 */
final class GatewaySettingsFile {
  /** The shortest tick that settings allow; here it marks a gateway that reports nothing. */
  static final int NO_REPORTS_TICK_MILLIS = 10;

  /** The value of {@code reporting} for a gateway that reports nothing. */
  static final String NO_REPORTS = "{\"tickMs\":" + NO_REPORTS_TICK_MILLIS + ",\"intervalMs\":10}";

  /** Limits that no benchmark reaches. */
  static final String WIDE_LIMITS = "\"limits\":{\"maxCalls\":40000}";

  private static final String ONE_CLASS =
      "[{\"name\":\"sale-lookup\","
          + "\"aimMs\":60000,\"deadlineMs\":120000,\"maxTokens\":1000000,\"tokenAimMs\":2000}]";

  private final int[] enginePorts;
  private String reporting = NO_REPORTS;
  private String limits = WIDE_LIMITS;
  private String classes = ONE_CLASS;
  private OptionalInt ioThreads = OptionalInt.empty();

  /** Creates the settings of a gateway with engines at the given loopback ports. */
  GatewaySettingsFile(int... enginePorts) {
    this.enginePorts = enginePorts.clone();
  }

  /** Replaces the value of the member {@code reporting}. */
  GatewaySettingsFile withReporting(String json) {
    reporting = json;
    return this;
  }

  /** Replaces the member {@code limits} with one or more members, given with their names. */
  GatewaySettingsFile withLimits(String jsonMembers) {
    limits = jsonMembers;
    return this;
  }

  /** Replaces the value of the member {@code classes}. */
  GatewaySettingsFile withClasses(String json) {
    classes = json;
    return this;
  }

  /** Sets the number of I/O threads. */
  GatewaySettingsFile withIoThreads(int threads) {
    ioThreads = OptionalInt.of(threads);
    return this;
  }

  /** Writes the settings and the endpoint list to a new temporary folder; returns the settings. */
  Path write() throws IOException {
    Path folder = Files.createTempDirectory("lemondock-benchmark");
    Path endpointList = folder.resolve("list.json");
    Files.writeString(endpointList, endpointListJson());
    Path settings = folder.resolve("gateway.json");
    Files.writeString(settings, settingsJson(endpointList));
    return settings;
  }

  private String endpointListJson() {
    StringBuilder list = new StringBuilder("{\"servers\":[");
    for (int i = 0; i < enginePorts.length; i++) {
      list.append(i == 0 ? "" : ",")
          .append("{\"name\":\"m")
          .append(i)
          .append("\",\"address\":\"127.0.0.1:")
          .append(enginePorts[i])
          .append("\",\"kind\":\"mixed\",\"zone\":\"north\",\"rack\":\"r1\"}");
    }
    return list.append("]}").toString();
  }

  private String settingsJson(Path endpointList) {
    String threads = ioThreads.isPresent() ? "\"ioThreads\":" + ioThreads.getAsInt() + "," : "";
    return "{\"name\":\"gw\","
        + threads
        + "\"reporting\":"
        + reporting
        + ",\"front\":{\"listen\":\"127.0.0.1:0\",\"maxConnections\":40000,"
        + "\"maxSessions\":40000,\"replayBytes\":4096},"
        + limits
        + ",\"engines\":{\"maxConnectionsPerServer\":40000,\"streamSilenceMs\":60000,\"connectTimeoutMs\":5000},"
        + "\"discovery\":{\"kind\":\"file\",\"path\":\""
        + endpointList
        + "\"},\"classes\":"
        + classes
        + ",\"kinds\":[{\"name\":\"mixed\",\"role\":\"mixed\",\"memoryTokens\":100000000000}]}";
  }
}
