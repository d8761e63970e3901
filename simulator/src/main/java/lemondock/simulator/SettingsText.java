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
 * Turns settings by path, or the start-up text (one {@code path=value} a line), into {@link
 * RouterSettings}.
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
        throw new MalformedInputException("setting without a name or value: " + line.strip());
      }
      values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
    }
  }

  /** Settings from the start-up text; an IllegalArgumentException names what is wrong. */
  public static RouterSettings parse(String text) {
    return new SettingsText(text).settings();
  }

  /**
   * Settings from values by path, as a gateway of its own has them; an IllegalArgumentException
   * names what is wrong.
   */
  public static RouterSettings parse(Map<String, String> values) {
    return new SettingsText(values).settings();
  }

  private static double parse(String value, String name) {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException exception) {
      // reported below, together with what is not finite
    }
    throw new MalformedInputException("setting " + name + ": not a number: " + value);
  }

  private RouterSettings settings() {
    return RouterSettings.builder()
        .gatewayIndex((int) number("me"))
        .gatewayCount((int) number("siblings"))
        .zone((int) number("az"))
        .timerResolutionMicros(micros("resolution-ms"))
        .classes(classes())
        .tenants(tenants())
        .serverKinds(kinds())
        .limits(limits())
        .rules(rules())
        .streamsResume(flag("specifics.resume"))
        .writersCanRead(flag("specifics.local-read"))
        .build();
  }

  private List<RequestClass> classes() {
    List<String> objectiveStretch = listOf("specifics.aim-us-per-1000-prompt-tokens");
    List<String> tokenIntervals = listOf("specifics.token-aim-ms");
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < count("classes.count"); i++) {
      String prefix = "classes." + i + ".";
      classes.add(
          RequestClass.builder()
              .latencyObjectiveMicros(micros(prefix + "goal-time-ms"))
              .objectiveMicrosPerThousandTokens(
                  Math.round(item(objectiveStretch, i, "specifics.aim-us-per-1000-prompt-tokens")))
              .deadlineMicros(micros(prefix + "deadline-ms"))
              .priorityWeight(number(prefix + "credit"))
              .latePriorityWeight(number(prefix + "late-worth"))
              .idempotency(idempotency(prefix + "repeat"))
              .deduplicationScope(deduplicationScope(prefix + "group"))
              .deduplicationWindowMicros(micros(prefix + "repeat-window-ms"))
              .tokenIntervalObjectiveMicros(
                  Math.round(
                      item(tokenIntervals, i, "specifics.token-aim-ms")
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

  private List<ServerKind> kinds() {
    List<String> roles = listOf("specifics.duty-by-kind");
    List<String> memory = listOf("specifics.memory-tokens");
    List<ServerKind> kinds = new ArrayList<>();
    for (int i = 0; i < roles.size(); i++) {
      ServerRole role =
          switch (roles.get(i)) {
            case "read" -> ServerRole.READER;
            case "write" -> ServerRole.WRITER;
            case "both" -> ServerRole.MIXED;
            default ->
                throw new MalformedInputException(
                    "setting specifics.duty-by-kind: unknown role " + roles.get(i));
          };
      kinds.add(new ServerKind(role, Math.round(item(memory, i, "specifics.memory-tokens"))));
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
          throw new MalformedInputException("setting " + name + ": unknown effect '" + value + "'");
    };
  }

  private DeduplicationScope deduplicationScope(String name) {
    String value = values.getOrDefault(name, "all");
    return switch (value) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      case "cell" -> DeduplicationScope.CELL;
      default ->
          throw new MalformedInputException("setting " + name + ": unknown group '" + value + "'");
    };
  }

  private boolean flag(String name) {
    String value = values.getOrDefault(name, "false");
    return switch (value) {
      case "true", "1" -> true;
      case "false", "0", "" -> false;
      default ->
          throw new MalformedInputException(
              "setting " + name + ": neither true nor false: " + value);
    };
  }

  private long micros(String name) {
    return Math.round(number(name) * EventFrame.MICROS_PER_MILLI);
  }

  private int count(String name) {
    double count = number(name);
    if (count < 0 || count != Math.rint(count) || count > Short.MAX_VALUE) {
      throw new MalformedInputException("setting " + name + ": not a count: " + values.get(name));
    }
    return (int) count;
  }

  private double number(String name) {
    String value = values.getOrDefault(name, "");
    return value.isEmpty() ? 0 : parse(value, name);
  }

  private static double item(List<String> items, int index, String name) {
    return index < items.size() ? parse(items.get(index), name) : 0;
  }

  private List<String> listOf(String name) {
    String value = values.getOrDefault(name, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }
}
