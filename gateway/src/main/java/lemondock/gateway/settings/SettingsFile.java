package lemondock.gateway.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.ApplyDefaultsStrategy;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemondock.policy.Idempotency;
import lemondock.policy.ServerRole;

/** Reads and checks files of settings against a JSON Schema, which also holds the defaults. */
public final class SettingsFile {
  private static final long MAX_FILE_BYTES = 1024 * 1024;
  private static final int MAX_FOUND_CHARS = 60;
  private static final JsonMapper MAPPER =
      PolicyEnumNames.register(JsonMapper.builder())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private SettingsFile() {}

  /** Reads a gateway's settings. */
  public static GatewaySettings readGateway(Path file) throws SettingsException {
    JsonNode root = readJson(file);
    return readGateway(file.toString(), root);
  }

  /** Checks settings at hand; {@code file} is what problems are reported under. */
  public static GatewaySettings readGateway(String file, JsonNode root) throws SettingsException {
    GatewaySettings settings =
        bind(file, root, "gateway.schema.json", SettingsFile.class, GatewaySettings.class);
    List<String> problems = new ArrayList<>();
    check(settings, (pointer, what) -> problems.add(file + ": " + pointer + ": " + what));
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return settings;
  }

  private interface Report {
    void problem(String pointer, String what);
  }

  /** What a schema cannot say. */
  private static void check(GatewaySettings settings, Report report) {
    if (settings.number() >= settings.gateways()) {
      report.problem(
          "/number",
          "expected less than /gateways (" + settings.gateways() + "), found " + settings.number());
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < settings.classes().size(); i++) {
      GatewaySettings.ClassSettings requestClass = settings.classes().get(i);
      if (!names.add(requestClass.name())) {
        report.problem(
            "/classes/" + i + "/name",
            "expected a name used once, found " + requestClass.name() + " again");
      }
      if (requestClass.deadlineMs() < requestClass.aimMs()) {
        report.problem(
            "/classes/" + i + "/deadlineMs",
            "expected at least aimMs ("
                + requestClass.aimMs()
                + "), found "
                + requestClass.deadlineMs());
      }
      if (requestClass.repeat() == Idempotency.IDEMPOTENCY_KEY
          && requestClass.repeatWindowMs() <= 0) {
        report.problem(
            "/classes/" + i + "/repeatWindowMs",
            "expected a time above 0 with repeat 'keyed', found " + requestClass.repeatWindowMs());
      }
    }
    Set<String> kinds = new HashSet<>();
    boolean hasReader = false;
    boolean hasWriter = false;
    for (int i = 0; i < settings.kinds().size(); i++) {
      String name = settings.kinds().get(i).name();
      if (!kinds.add(name)) {
        report.problem(
            "/kinds/" + i + "/name", "expected a name used once, found " + name + " again");
      }
      hasReader |= settings.kinds().get(i).role() != ServerRole.WRITER;
      hasWriter |= settings.kinds().get(i).role() != ServerRole.READER;
    }
    if (!hasReader || !hasWriter) {
      report.problem(
          "/kinds",
          "expected kinds that can read and kinds that can write, found "
              + (hasReader ? "no writer" : "no reader"));
    }
    checkAddress("/front/listen", settings.front().listen(), report);
    if (settings.discovery().address() != null) {
      checkAddress("/discovery/address", settings.discovery().address(), report);
    }
    if (settings.overload().mostAdviceMs() < settings.overload().adviceMs()) {
      report.problem(
          "/overload/mostAdviceMs",
          "expected at least adviceMs ("
              + settings.overload().adviceMs()
              + "), found "
              + settings.overload().mostAdviceMs());
    }
    if (settings.overload().hardPart() <= settings.overload().softPart()) {
      report.problem(
          "/overload/hardPart",
          "expected more than softPart ("
              + settings.overload().softPart()
              + "), found "
              + settings.overload().hardPart());
    }
    checkReporting(settings.reporting(), report);
  }

  /** Settings of reports that contradict each other. */
  private static void checkReporting(GatewaySettings.Reporting reporting, Report report) {
    if (reporting.intervalMs() < reporting.tickMs()
        || reporting.intervalMs() / reporting.tickMs() % 1 != 0) {
      report.problem(
          "/reporting/intervalMs",
          "expected a multiple of tickMs ("
              + reporting.tickMs()
              + "), found "
              + reporting.intervalMs());
    }
    if (reporting.listen() != null) {
      checkAddress("/reporting/listen", reporting.listen(), report);
    }
    if (reporting.detector().mostUsual() < reporting.detector().leastUsual()) {
      report.problem(
          "/reporting/detector/mostUsual",
          "expected at least leastUsual ("
              + reporting.detector().leastUsual()
              + "), found "
              + reporting.detector().mostUsual());
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < reporting.destinations().size(); i++) {
      GatewaySettings.Destination destination = reporting.destinations().get(i);
      String pointer = "/reporting/destinations/" + i;
      final boolean collectd = destination.kind() == DestinationKind.COLLECTD;
      final boolean sealed =
          destination.security() != null && destination.security() != CollectdSecurityLevel.NONE;
      if (!names.add(destination.name())) {
        report.problem(
            pointer + "/name", "expected a name used once, found " + destination.name() + " again");
      }
      if (destination.address() != null) {
        checkAddress(pointer + "/address", destination.address(), report);
      }
      checkAllowed(
          destination.address(),
          destination.kind() != DestinationKind.COLLECTD_UNIXSOCK,
          destination,
          pointer + "/address",
          report);
      checkAllowed(
          destination.path(),
          destination.kind() == DestinationKind.COLLECTD_UNIXSOCK,
          destination,
          pointer + "/path",
          report);
      checkAllowed(
          destination.prefix(),
          destination.kind().isGraphite(),
          destination,
          pointer + "/prefix",
          report);
      checkAllowed(
          destination.tags(),
          destination.kind().isGraphite(),
          destination,
          pointer + "/tags",
          report);
      checkAllowed(
          destination.security() == null ? null : destination.security().settingName(),
          collectd,
          destination,
          pointer + "/security",
          report);
      checkAllowed(
          destination.packetBytes(), collectd, destination, pointer + "/packetBytes", report);
      checkAllowed(
          destination.counters() == null ? null : destination.counters().settingName(),
          collectd,
          destination,
          pointer + "/counters",
          report);
      if (sealed && (destination.username() == null || destination.authFile() == null)) {
        report.problem(
            pointer,
            "expected username and authFile with security '"
                + destination.security().settingName()
                + "', found "
                + (destination.username() == null ? "no username" : "no authFile"));
      }
      if (!sealed && (destination.username() != null || destination.authFile() != null)) {
        report.problem(
            pointer + (destination.username() != null ? "/username" : "/authFile"),
            "expected none without security 'sign' or 'encrypt', found one");
      }
      if (destination.maxBackoffMs() < destination.backoffMs()) {
        report.problem(
            pointer + "/maxBackoffMs",
            "expected at least backoffMs ("
                + destination.backoffMs()
                + "), found "
                + destination.maxBackoffMs());
      }
    }
  }

  private static void checkAllowed(
      Object value,
      boolean allowed,
      GatewaySettings.Destination destination,
      String pointer,
      Report report) {
    if (value != null && !allowed) {
      report.problem(
          pointer,
          "expected none for kind '" + destination.kind().settingName() + "', found " + value);
    }
  }

  private static void checkAddress(String pointer, String address, Report report) {
    try {
      resolveAddress(address);
    } catch (IllegalArgumentException e) {
      report.problem(pointer, "expected HOST:PORT with a port up to 65535, found " + address);
    }
  }

  /** The address of a text HOST:PORT; a host is resolved here, so call it off the loop. */
  public static InetSocketAddress resolveAddress(String text) {
    InetSocketAddress named = parseAddress(text);
    return new InetSocketAddress(named.getHostString(), named.getPort());
  }

  /** The host and port of such a text, not looked up. */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    return InetSocketAddress.createUnresolved(host, Integer.parseInt(text.substring(colon + 1)));
  }

  /** Reads JSON from a file; comments are allowed. */
  public static JsonNode readJson(Path file) throws SettingsException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new SettingsException(
            List.of(
                file
                    + ": expected at most "
                    + MAX_FILE_BYTES
                    + " bytes, found "
                    + Files.size(file)));
      }
      JsonNode root = MAPPER.readTree(Files.readAllBytes(file));
      if (root == null || !root.isObject()) {
        throw new SettingsException(List.of(file + ": expected a JSON object"));
      }
      return root;
    } catch (JsonProcessingException e) {
      throw new SettingsException(
          List.of(
              file
                  + ":"
                  + e.getLocation().getLineNr()
                  + ":"
                  + e.getLocation().getColumnNr()
                  + ": expected JSON, found: "
                  + e.getOriginalMessage()));
    } catch (NoSuchFileException e) {
      throw new SettingsException(List.of(file + ": expected a file, found none"));
    } catch (IOException e) {
      throw new SettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
    }
  }

  /**
   * Validates against a schema beside {@code owner}, fills in its defaults and makes the record.
   */
  public static <T> T bind(
      String file, JsonNode root, String schemaName, Class<?> owner, Class<T> type)
      throws SettingsException {
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder()
            .pathType(PathType.JSON_POINTER)
            .applyDefaultsStrategy(new ApplyDefaultsStrategy(true, true, true))
            .build();
    JsonSchema schema;
    try (InputStream in =
        owner.getResourceAsStream(
            "/lemondock/" + owner.getPackageName().split("\\.")[1] + "/" + schemaName)) {
      schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in, config);
    } catch (IOException e) {
      throw new IllegalStateException("the schema " + schemaName + " is not in the jar", e);
    }
    Set<ValidationMessage> messages = schema.walk(root, true).getValidationMessages();
    if (!messages.isEmpty()) {
      throw new SettingsException(
          messages.stream().map(message -> problem(file, message)).distinct().sorted().toList());
    }
    try {
      return MAPPER.treeToValue(root, type);
    } catch (JsonProcessingException e) {
      throw new SettingsException(List.of(file + ": " + e.getOriginalMessage()));
    }
  }

  private static String problem(String file, ValidationMessage message) {
    String pointer = message.getInstanceLocation().toString();
    String text = message.getMessage();
    int colon = text.indexOf(": ");
    String expected = colon >= 0 ? text.substring(colon + 2) : text;
    String found = message.getInstanceNode() == null ? "" : message.getInstanceNode().toString();
    if (found.length() > MAX_FOUND_CHARS) {
      found = found.substring(0, MAX_FOUND_CHARS) + "...";
    }
    return file
        + ": "
        + (pointer.isEmpty() ? "/" : pointer)
        + ": expected: "
        + expected
        + "; found: "
        + found;
  }
}
