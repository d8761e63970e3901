package lemondock.gateway.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.RouterSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsFileTest {
  private static final String VALID =
      "{\"name\":\"g\",\"front\":{\"listen\":\"127.0.0.1:8080\"},"
          + "\"discovery\":{\"kind\":\"file\",\"path\":\"list.json\"},"
          + "\"classes\":[{\"name\":\"c\",\"aimMs\":1000,\"deadlineMs\":5000,\"repeat\":\"keyed\",\"repeatWindowMs\":500,"
          + "\"group\":\"rack\"}],\"kinds\":[{\"name\":\"m\",\"role\":\"mixed\"}]}";

  @TempDir private Path folder;

  private GatewaySettings read(String text) throws IOException, SettingsException {
    Path file = folder.resolve("g.json");
    Files.writeString(file, text);
    return SettingsFile.readGateway(file);
  }

  @Test
  void fillsInDefaultsOfUnsetSettings() throws IOException, SettingsException {
    GatewaySettings settings = read("// a comment\n" + VALID);
    assertEquals(5, settings.limits().maxAttempts());
    assertEquals(250, settings.engines().connectTimeoutMs());
    assertEquals(DiscoveryKind.FILE, settings.discovery().kind());
    RouterSettings routerSettings = settings.toRouterSettings();
    assertEquals(DeduplicationScope.CELL, routerSettings.classes().get(0).deduplicationScope());
    assertEquals(500_000, routerSettings.classes().get(0).deduplicationWindowMicros());
    assertEquals(300_000, routerSettings.rules().releaseWithinMicros());
    assertEquals(5_080_000, settings.classes().get(0).deadlineMicros(1000));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      value = {
        "\"name\":\"g\" ~ \"name\":7 ~ g.json: /name: expected: integer found, string"
            + " expected; found: 7",
        "\"name\":\"g\" ~ \"nam\":\"g\" ~ name",
        "8080 ~ 99999 ~ /front/listen: expected HOST:PORT with a port up to 65535, found"
            + " 127.0.0.1:99999",
        "\"deadlineMs\":5000 ~ \"deadlineMs\":500 ~ /classes/0/deadlineMs: expected at"
            + " least aimMs (1000.0), found 500.0",
        "\"repeatWindowMs\":500 ~ \"repeatWindowMs\":0 ~ /classes/0/repeatWindowMs",
        "\"aimMs\":1000 ~ \"aimMs\":-1 ~ /classes/0/aimMs",
        "\"repeat\":\"keyed\" ~ \"repeat\":\"often\" ~ /classes/0/repeat",
        "\"path\":\"list.json\" ~ \"pollMs\":5 ~ path",
        "\"role\":\"mixed\" ~ \"role\":\"reader\" ~ /kinds: expected kinds that can read"
            + " and kinds that can write, found no writer",
        "\"front\" ~ \"number\":3,\"front\" ~ /number: expected less than /gateways (1),"
            + " found 3",
        "[{\"name\":\"m\",\"role\":\"mixed\"}] ~"
            + " [{\"name\":\"m\",\"role\":\"mixed\"},{\"name\":\"m\",\"role\":\"mixed\"}] ~"
            + " /kinds/1/name",
        "{\"name\":\"g\" ~"
            + " {\"overload\":{\"softPart\":0.9,\"hardPart\":0.85},\"name\":\"g\" ~"
            + " /overload/hardPart: expected more than softPart (0.9), found 0.85",
        "}]} ~ }]} x ~ g.json:1:",
      })
  void reportsFilePointerExpectedAndFound(String original, String replacement, String problem) {
    String message =
        assertThrows(SettingsException.class, () -> read(VALID.replace(original, replacement)))
            .getMessage();
    assertTrue(message.contains(problem) && message.contains("g.json"), message);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      value = {
        "\"intervalMs\":1500 ~ /reporting/intervalMs: expected a multiple of tickMs"
            + " (1000.0), found 1500.0",
        "\"tickMs\":0 ~ /reporting/tickMs",
        "\"detector\":{\"leastUsual\":0.4,\"mostUsual\":0.3} ~"
            + " /reporting/detector/mostUsual: expected at least leastUsual (0.4)",
        "D{\"name\":\"a\",\"kind\":\"graphite\"} ~ /reporting/destinations/0: expected:"
            + " required property 'address'",
        "D{\"name\":\"a\",\"kind\":\"collectd-unixsock\"} ~ required property 'path'",
        "D{\"name\":\"a\",\"kind\":\"statsd\",\"address\":\"h:1\"} ~"
            + " /reporting/destinations/0/kind",
        "D{\"name\":\"a\",\"kind\":\"graphite\",\"address\":\"h:99999\"} ~"
            + " /reporting/destinations/0/address: expected HOST:PORT",
        "D{\"name\":\"a\",\"kind\":\"graphite\",\"address\":\"h:1\",\"security\":\"sign\"}"
            + " ~ /reporting/destinations/0/security: expected no value for kind 'graphite',"
            + " found sign",
        "D{\"name\":\"a\",\"kind\":\"collectd\",\"address\":\"h:1\",\"tags\":true} ~"
            + " /reporting/destinations/0/tags: expected no value for kind 'collectd', found"
            + " true",
        "D{\"name\":\"a\",\"kind\":\"collectd\",\"address\":\"h:1\",\"security\":\"sign\",\"username\":\"u\"}"
            + " ~ expected username and authFile with security 'sign', found no authFile",
        "D{\"name\":\"a\",\"kind\":\"collectd\",\"address\":\"h:1\",\"username\":\"u\"} "
            + "~ /reporting/destinations/0/username: expected no value without security",
        "D{\"name\":\"a\",\"kind\":\"graphite\",\"address\":\"h:1\"},{\"name\":\"a\",\"kind\":\"graphite\",\"address\":\"h:1\"}"
            + " ~ /reporting/destinations/1/name: expected a unique name, found a again",
        "D{\"name\":\"a\",\"kind\":\"graphite\",\"address\":\"h:1\",\"backoffMs\":50000} ~"
            + " maxBackoffMs: expected at least backoffMs",
      })
  void rejectsInvalidReportingSettings(String setting, String problem) {
    String reporting =
        setting.startsWith("D") ? "\"destinations\":[" + setting.substring(1) + "]" : setting;
    String message =
        assertThrows(
                SettingsException.class,
                () ->
                    read(VALID.replace("\"front\"", "\"reporting\":{" + reporting + "},\"front\"")))
            .getMessage();
    assertTrue(message.contains(problem) && message.contains("g.json"), message);
  }

  @Test
  void namesAMissingFile() {
    assertTrue(
        assertThrows(
                SettingsException.class,
                () -> SettingsFile.readGateway(folder.resolve("none.json")))
            .getMessage()
            .contains("none.json: expected a file, found none"));
  }
}
