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
import java.util.List;
import java.util.Set;

/** Reads settings files and validates them against a JSON Schema, which also holds the defaults. */
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

  /**
   * Reads a gateway's settings.
   *
   * @throws SettingsException if the file cannot be read, or its settings cannot be used
   */
  public static GatewaySettings readGateway(Path file) throws SettingsException {
    return readGateway(file.toString(), readJson(file));
  }

  /**
   * Validates settings that are already parsed.
   *
   * @param file the file name used in problem messages
   * @throws SettingsException if the settings cannot be used
   */
  public static GatewaySettings readGateway(String file, JsonNode root) throws SettingsException {
    GatewaySettings settings =
        bind(file, root, "gateway.schema.json", SettingsFile.class, GatewaySettings.class);
    SettingsProblems problems = new SettingsProblems(file);
    new GatewaySettingsValidator(settings, problems).validate();
    problems.throwIfAny();
    return settings;
  }

  /** Parses HOST:PORT and resolves the host; this may block, so call it off the loop. */
  public static InetSocketAddress resolveAddress(String text) {
    InetSocketAddress unresolved = parseAddress(text);
    return new InetSocketAddress(unresolved.getHostString(), unresolved.getPort());
  }

  /** Parses HOST:PORT without resolving the host. */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    return InetSocketAddress.createUnresolved(host, Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Reads a JSON object from a file; comments are allowed.
   *
   * @throws SettingsException if the file does not exist or does not hold a JSON object
   */
  public static JsonNode readJson(Path file) throws SettingsException {
    try {
      return readObject(file);
    } catch (JsonProcessingException e) {
      String position = e.getLocation().getLineNr() + ":" + e.getLocation().getColumnNr();
      throw exceptionFor(
          file + ":" + position + ": expected JSON, found: " + e.getOriginalMessage());
    } catch (NoSuchFileException e) {
      throw exceptionFor(file + ": expected a file, found none");
    } catch (IOException e) {
      throw exceptionFor(file + ": cannot read the file: " + e.getMessage());
    }
  }

  private static JsonNode readObject(Path file) throws IOException, SettingsException {
    long size = Files.size(file);
    if (size > MAX_FILE_BYTES) {
      throw exceptionFor(file + ": expected at most " + MAX_FILE_BYTES + " bytes, found " + size);
    }
    JsonNode root = MAPPER.readTree(Files.readAllBytes(file));
    if (root == null || !root.isObject()) {
      throw exceptionFor(file + ": expected a JSON object");
    }
    return root;
  }

  private static SettingsException exceptionFor(String text) {
    return new SettingsException(List.of(text));
  }

  /**
   * Validates settings against a schema, fills in its defaults and binds them to a record.
   *
   * @param file the file name used in problem messages
   * @param schemaName name of a resource in the folder of the module of {@code owner}
   * @throws SettingsException if the settings do not match the schema
   */
  public static <T> T bind(
      String file, JsonNode root, String schemaName, Class<?> owner, Class<T> type)
      throws SettingsException {
    Set<ValidationMessage> messages =
        schema(schemaName, owner).walk(root, true).getValidationMessages();
    if (!messages.isEmpty()) {
      throw new SettingsException(
          messages.stream().map(message -> describe(file, message)).distinct().sorted().toList());
    }
    try {
      return MAPPER.treeToValue(root, type);
    } catch (JsonProcessingException e) {
      throw exceptionFor(file + ": " + e.getOriginalMessage());
    }
  }

  /**
   * Loads a schema from the resource folder named after its module, which is the second part of the
   * package name of {@code owner}.
   */
  private static JsonSchema schema(String schemaName, Class<?> owner) {
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder()
            .pathType(PathType.JSON_POINTER)
            .applyDefaultsStrategy(new ApplyDefaultsStrategy(true, true, true))
            .build();
    String module = owner.getPackageName().split("\\.")[1];
    try (InputStream in = owner.getResourceAsStream("/lemondock/" + module + "/" + schemaName)) {
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in, config);
    } catch (IOException e) {
      throw new IllegalStateException(
          "cannot read the schema " + schemaName + " of module " + module, e);
    }
  }

  private static String describe(String file, ValidationMessage message) {
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
