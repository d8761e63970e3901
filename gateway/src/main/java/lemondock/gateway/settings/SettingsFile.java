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

/** Reads and checks files of settings against a JSON Schema, which also holds the defaults. */
public final class SettingsFile {
  private static final long MOST_BYTES = 1024 * 1024;
  private static final int MOST_FOUND = 60;
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private SettingsFile() {}

  /** Reads a gateway's settings. */
  public static GatewaySettings gateway(Path file) throws SettingsException {
    JsonNode root = read(file);
    return gateway(file.toString(), root);
  }

  /** Checks settings at hand; {@code file} is what problems are reported under. */
  public static GatewaySettings gateway(String file, JsonNode root) throws SettingsException {
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
  private static void check(GatewaySettings s, Report report) {
    if (s.number() >= s.gateways()) {
      report.problem(
          "/number", "expected less than /gateways (" + s.gateways() + "), found " + s.number());
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < s.classes().size(); i++) {
      GatewaySettings.ClassSettings c = s.classes().get(i);
      if (!names.add(c.name())) {
        report.problem(
            "/classes/" + i + "/name", "expected a name used once, found " + c.name() + " again");
      }
      if (c.deadlineMs() < c.aimMs()) {
        report.problem(
            "/classes/" + i + "/deadlineMs",
            "expected at least aimMs (" + c.aimMs() + "), found " + c.deadlineMs());
      }
      if (c.repeat().equals("keyed") && c.repeatWindowMs() <= 0) {
        report.problem(
            "/classes/" + i + "/repeatWindowMs",
            "expected a time above 0 with repeat 'keyed', found " + c.repeatWindowMs());
      }
    }
    Set<String> kinds = new HashSet<>();
    boolean reads = false;
    boolean writes = false;
    for (int i = 0; i < s.kinds().size(); i++) {
      String name = s.kinds().get(i).name();
      if (!kinds.add(name)) {
        report.problem(
            "/kinds/" + i + "/name", "expected a name used once, found " + name + " again");
      }
      reads |= !s.kinds().get(i).role().equals("writer");
      writes |= !s.kinds().get(i).role().equals("reader");
    }
    if (!reads || !writes) {
      report.problem(
          "/kinds",
          "expected kinds that can read and kinds that can write, found "
              + (reads ? "no writer" : "no reader"));
    }
    checkAddress("/front/listen", s.front().listen(), report);
    if (s.discovery().address() != null) {
      checkAddress("/discovery/address", s.discovery().address(), report);
    }
    if (s.overload().mostAdviceMs() < s.overload().adviceMs()) {
      report.problem(
          "/overload/mostAdviceMs",
          "expected at least adviceMs ("
              + s.overload().adviceMs()
              + "), found "
              + s.overload().mostAdviceMs());
    }
    if (s.overload().hardPart() <= s.overload().softPart()) {
      report.problem(
          "/overload/hardPart",
          "expected more than softPart ("
              + s.overload().softPart()
              + "), found "
              + s.overload().hardPart());
    }
    checkReporting(s.reporting(), report);
  }

  /** Settings of reports that contradict each other. */
  private static void checkReporting(GatewaySettings.Reporting r, Report report) {
    if (r.intervalMs() < r.tickMs() || r.intervalMs() / r.tickMs() % 1 != 0) {
      report.problem(
          "/reporting/intervalMs",
          "expected a multiple of tickMs (" + r.tickMs() + "), found " + r.intervalMs());
    }
    if (r.listen() != null) {
      checkAddress("/reporting/listen", r.listen(), report);
    }
    if (r.detector().mostUsual() < r.detector().leastUsual()) {
      report.problem(
          "/reporting/detector/mostUsual",
          "expected at least leastUsual ("
              + r.detector().leastUsual()
              + "), found "
              + r.detector().mostUsual());
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < r.destinations().size(); i++) {
      GatewaySettings.Destination d = r.destinations().get(i);
      String at = "/reporting/destinations/" + i;
      final boolean collectd = d.kind().equals("collectd");
      final boolean sealed = d.security() != null && !d.security().equals("none");
      if (!names.add(d.name())) {
        report.problem(at + "/name", "expected a name used once, found " + d.name() + " again");
      }
      if (d.address() != null) {
        checkAddress(at + "/address", d.address(), report);
      }
      only(d.address(), !d.kind().equals("collectd-unixsock"), d, at + "/address", report);
      only(d.path(), d.kind().equals("collectd-unixsock"), d, at + "/path", report);
      only(d.prefix(), d.kind().startsWith("graphite"), d, at + "/prefix", report);
      only(d.tags(), d.kind().startsWith("graphite"), d, at + "/tags", report);
      only(d.security(), collectd, d, at + "/security", report);
      only(d.packetBytes(), collectd, d, at + "/packetBytes", report);
      only(d.counters(), collectd, d, at + "/counters", report);
      if (sealed && (d.username() == null || d.authFile() == null)) {
        report.problem(
            at,
            "expected username and authFile with security '"
                + d.security()
                + "', found "
                + (d.username() == null ? "no username" : "no authFile"));
      }
      if (!sealed && (d.username() != null || d.authFile() != null)) {
        report.problem(
            at + (d.username() != null ? "/username" : "/authFile"),
            "expected none without security 'sign' or 'encrypt', found one");
      }
      if (d.maxBackoffMs() < d.backoffMs()) {
        report.problem(
            at + "/maxBackoffMs",
            "expected at least backoffMs (" + d.backoffMs() + "), found " + d.maxBackoffMs());
      }
    }
  }

  private static void only(
      Object value, boolean allowed, GatewaySettings.Destination d, String pointer, Report report) {
    if (value != null && !allowed) {
      report.problem(pointer, "expected none for kind '" + d.kind() + "', found " + value);
    }
  }

  private static void checkAddress(String pointer, String address, Report report) {
    try {
      address(address);
    } catch (IllegalArgumentException e) {
      report.problem(pointer, "expected HOST:PORT with a port up to 65535, found " + address);
    }
  }

  /** The address of a text HOST:PORT; a host is resolved here, so call it off the loop. */
  public static InetSocketAddress address(String text) {
    InetSocketAddress named = unresolved(text);
    return new InetSocketAddress(named.getHostString(), named.getPort());
  }

  /** The host and port of such a text, not looked up. */
  public static InetSocketAddress unresolved(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    return InetSocketAddress.createUnresolved(host, Integer.parseInt(text.substring(colon + 1)));
  }

  /** Reads JSON from a file; comments are allowed. */
  public static JsonNode read(Path file) throws SettingsException {
    try {
      if (Files.size(file) > MOST_BYTES) {
        throw new SettingsException(
            List.of(
                file + ": expected at most " + MOST_BYTES + " bytes, found " + Files.size(file)));
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
          messages.stream().map(m -> problem(file, m)).distinct().sorted().toList());
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
    if (found.length() > MOST_FOUND) {
      found = found.substring(0, MOST_FOUND) + "...";
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
