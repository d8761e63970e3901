package lemondock.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.DeploymentLimits;
import lemondock.policy.Idempotency;
import lemondock.policy.RequestClass;
import lemondock.policy.RouterSettings;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerRole;
import lemondock.policy.ServiceRules;
import lemondock.policy.Tenant;

/**
 * Parses {@link RouterSettings} from values by path, or from the start-up text, which has one
 * {@code path=value} per line.
 */
public final class SettingsText {
  private final Map<String, String> values;

  private SettingsText(Map<String, String> values) {
    this.values = values;
  }

  private SettingsText(String text) {
    values = new HashMap<>();
    for (String line : text.split("\n")) {
      if (line.isBlank()) {
        continue;
      }
      int equals = line.indexOf('=');
      if (equals < 1) {
        throw new MalformedInputException(
            "setting: expected path=value, found '" + line.strip() + "'");
      }
      values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
    }
  }

  /**
   * Parses the start-up text.
   *
   * @throws IllegalArgumentException if a setting is invalid; the message names the setting
   */
  public static RouterSettings parse(String text) {
    return new SettingsText(text).toRouterSettings();
  }

  /**
   * Parses values by path, as a standalone gateway has them.
   *
   * @throws IllegalArgumentException if a setting is invalid; the message names the setting
   */
  public static RouterSettings parse(Map<String, String> values) {
    return new SettingsText(values).toRouterSettings();
  }

  private static double parseNumber(String value, String name) {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException exception) {
      // reported below, together with numbers that are not finite
    }
    throw new MalformedInputException(
        "setting " + name + ": expected a finite number, found '" + value + "'");
  }

  private RouterSettings toRouterSettings() {
    return RouterSettings.builder()
        .gatewayIndex((int) number("me"))
        .gatewayCount((int) number("siblings"))
        .zone((int) number("az"))
        .timerResolutionMicros(micros("resolution-ms"))
        .classes(classes())
        .tenants(tenants())
        .serverKinds(serverKinds())
        .limits(limits())
        .rules(rules())
        .streamsResume(flag("specifics.resume"))
        .writersCanRead(flag("specifics.local-read"))
        .build();
  }

  private List<RequestClass> classes() {
    List<String> objectiveMicrosPerThousandTokens =
        items("specifics.aim-us-per-1000-prompt-tokens");
    List<String> tokenIntervalMillis = items("specifics.token-aim-ms");
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < count("classes.count"); i++) {
      String prefix = "classes." + i + ".";
      classes.add(
          RequestClass.builder()
              .latencyObjectiveMicros(micros(prefix + "goal-time-ms"))
              .objectiveMicrosPerThousandTokens(
                  Math.round(
                      numberAt(
                          objectiveMicrosPerThousandTokens,
                          i,
                          "specifics.aim-us-per-1000-prompt-tokens")))
              .deadlineMicros(micros(prefix + "deadline-ms"))
              .priorityWeight(number(prefix + "credit"))
              .latePriorityWeight(number(prefix + "late-worth"))
              .idempotency(idempotency(prefix + "repeat"))
              .deduplicationScope(deduplicationScope(prefix + "group"))
              .deduplicationWindowMicros(micros(prefix + "repeat-window-ms"))
              .tokenIntervalObjectiveMicros(
                  Math.round(
                      numberAt(tokenIntervalMillis, i, "specifics.token-aim-ms")
                          * EventFrame.MICROS_PER_MILLI))
              .build());
    }
    return List.copyOf(classes);
  }

  private List<Tenant> tenants() {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < count("tenants.count"); i++) {
      tenants.add(new Tenant(number("tenants." + i + ".quota-per-s")));
    }
    return List.copyOf(tenants);
  }

  private List<ServerKind> serverKinds() {
    List<String> roles = items("specifics.duty-by-kind");
    List<String> memoryTokens = items("specifics.memory-tokens");
    List<ServerKind> kinds = new ArrayList<>();
    for (int i = 0; i < roles.size(); i++) {
      ServerRole role =
          switch (roles.get(i)) {
            case "read" -> ServerRole.READER;
            case "write" -> ServerRole.WRITER;
            case "both" -> ServerRole.MIXED;
            default ->
                throw new MalformedInputException(
                    "setting specifics.duty-by-kind: expected read, write or both, found '"
                        + roles.get(i)
                        + "'");
          };
      kinds.add(
          new ServerKind(role, Math.round(numberAt(memoryTokens, i, "specifics.memory-tokens"))));
    }
    return List.copyOf(kinds);
  }

  private DeploymentLimits limits() {
    return DeploymentLimits.builder()
        .maxAttempts((int) number("limits.max-attempts"))
        .mayCancel(flag("limits.cancel"))
        .mayHedge(flag("limits.second-copies"))
        .mayProbe(flag("limits.may-probe"))
        .mayGossip(flag("limits.peers"))
        .sendsRetryAfter(flag("limits.retry-after"))
        .maxRetryAfterMicros(micros("limits.max-retry-after-ms"))
        .connectTimeoutMicros(micros("limits.connect-timeout-ms"))
        .pollsEndpointList("ask".equals(values.get("registry-mode")))
        .build();
  }

  private ServiceRules rules() {
    return ServiceRules.builder()
        .answerSlackMicros(micros("obligations.answer-slack-ms"))
        .drainGraceMicros(micros("obligations.stop-sending-within-ms"))
        .slowStartInitialShare(number("obligations.cold-share"))
        .slowStartMicros(micros("obligations.warm-up-ms"))
        .overloadFactor(number("obligations.overload-factor"))
        .overloadWindowMicros(micros("obligations.fall-ms"))
        .releaseWithinMicros(micros("specifics.release-within-ms"))
        .build();
  }

  private Idempotency idempotency(String name) {
    String value = values.getOrDefault(name, "");
    return switch (value) {
      case "repeatable" -> Idempotency.IDEMPOTENT;
      case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "once" -> Idempotency.NON_IDEMPOTENT;
      default ->
          throw new MalformedInputException(
              "setting " + name + ": expected repeatable, by_key or once, found '" + value + "'");
    };
  }

  private DeduplicationScope deduplicationScope(String name) {
    String value = values.getOrDefault(name, "all");
    return switch (value) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      case "cell" -> DeduplicationScope.CELL;
      default ->
          throw new MalformedInputException(
              "setting " + name + ": expected all, zone or cell, found '" + value + "'");
    };
  }

  private boolean flag(String name) {
    String value = values.getOrDefault(name, "false");
    return switch (value) {
      case "true", "1" -> true;
      case "false", "0", "" -> false;
      default ->
          throw new MalformedInputException(
              "setting " + name + ": expected true, false, 1 or 0, found '" + value + "'");
    };
  }

  private long micros(String name) {
    return Math.round(number(name) * EventFrame.MICROS_PER_MILLI);
  }

  private int count(String name) {
    double count = number(name);
    if (count < 0 || count != Math.rint(count) || count > Short.MAX_VALUE) {
      throw new MalformedInputException(
          "setting "
              + name
              + ": expected a whole number from 0 to "
              + Short.MAX_VALUE
              + ", found '"
              + values.get(name)
              + "'");
    }
    return (int) count;
  }

  private double number(String name) {
    String value = values.getOrDefault(name, "");
    return value.isEmpty() ? 0 : parseNumber(value, name);
  }

  private static double numberAt(List<String> items, int index, String name) {
    return index < items.size() ? parseNumber(items.get(index), name) : 0;
  }

  private List<String> items(String name) {
    String value = values.getOrDefault(name, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }
}
