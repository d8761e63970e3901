package lemondock.gateway.settings;

import java.util.List;
import lemondock.anomaly.CusumDetector;
import lemondock.overload.Admission;
import lemondock.overload.ResourcePressure;
import lemondock.overload.RetryBudget;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.DeploymentLimits;
import lemondock.policy.Idempotency;
import lemondock.policy.RequestClass;
import lemondock.policy.RouterSettings;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerRole;
import lemondock.policy.ServiceRules;

/**
 * The settings of a gateway as its file contains them; {@code gateway.schema.json} defines the
 * type, range and default of each. Components whose names end in {@code Ms} are milliseconds.
 */
public record GatewaySettings(
    String name,
    int number,
    int gateways,
    String zone,
    long seed,
    int ioThreads,
    Front front,
    Engines engines,
    Discovery discovery,
    List<ClassSettings> classes,
    List<Kind> kinds,
    Limits limits,
    Rules rules,
    boolean streamsResume,
    Overload overload,
    Durable durable,
    Reporting reporting,
    Log log) {

  private static final double MICROS_PER_MILLI = 1_000;

  /** The router ends a request this long before its deadline (microseconds). */
  private static final long DEADLINE_RESOLUTION_MICROS = 2_000;

  /** The HTTP front end that clients connect to, with its limits and timeouts. */
  public record Front(
      String listen,
      List<String> allowedOrigins,
      List<String> allowedHosts,
      int maxConnections,
      long maxBodyBytes,
      long maxBodiesBytes,
      int maxDepth,
      int maxBatch,
      int maxSessions,
      int maxCallsPerSession,
      double sessionIdleMs,
      double resumeWindowMs,
      int replayBytes,
      double keepAliveMs,
      double requestTimeoutMs,
      double idleTimeoutMs,
      double stallTimeoutMs) {}

  /** The connections to engines (model servers), with their limits and timeouts. */
  public record Engines(
      String model,
      double connectTimeoutMs,
      double idleMs,
      double streamSilenceMs,
      int maxConnectionsPerServer,
      long maxReplyBytes,
      int maxEventBytes,
      String apiKey) {}

  /** The source of the endpoint list, and how often it is polled or queried. */
  public record Discovery(
      DiscoveryKind kind,
      String path,
      double pollMs,
      String address,
      String service,
      double waitMs,
      double retryMs,
      double maxRetryMs,
      String cache) {}

  /**
   * One request class, which clients see as a tool.
   *
   * @param repeat whether its requests may be sent again
   * @param group the set of servers within which a retry with a known idempotency key is
   *     deduplicated
   */
  public record ClassSettings(
      String name,
      String description,
      double aimMs,
      double aimMsPerThousandTokens,
      double deadlineMs,
      double worth,
      double lateWorth,
      Idempotency repeat,
      DeduplicationScope group,
      double repeatWindowMs,
      double tokenAimMs,
      int maxTokens,
      int maxTurns,
      int maxToolCallsPerTurn,
      double toolTimeoutMs,
      int maxToolResultBytes,
      int maxToolArgumentBytes) {

    /**
     * The time (microseconds) within which a client expects the first token of the answer to a
     * prompt of this many tokens. Its share per token is twice that of the latency objective.
     */
    public long deadlineMicros(int promptTokens) {
      return micros(deadlineMs + 2 * aimMsPerThousandTokens * promptTokens / 1000);
    }

    /** Whether requests of the class may always be sent again. */
    public boolean isIdempotent() {
      return repeat == Idempotency.IDEMPOTENT;
    }

    private RequestClass toRequestClass() {
      return new RequestClass(
          micros(aimMs),
          micros(aimMsPerThousandTokens),
          micros(deadlineMs),
          worth,
          lateWorth,
          repeat,
          group,
          micros(repeatWindowMs),
          micros(tokenAimMs));
    }
  }

  /**
   * One kind of server.
   *
   * @param memoryTokens tokens that one server can hold at a time; 0 if unknown
   */
  public record Kind(String name, ServerRole role, long memoryTokens) {}

  /** Limits of the whole gateway. */
  public record Limits(
      int maxCalls,
      int maxWaitingAnswers,
      int maxAttempts,
      int maxResumptions,
      double retryAdviceMs,
      double stopNoticeMs,
      double stopWithinMs) {}

  /** Parameters of the router's five service rules. */
  public record Rules(
      double answerSlackMs,
      double drainGraceMs,
      double coldShare,
      double warmUpMs,
      double overloadFactor,
      double overloadWindowMs,
      double releaseWithinMs) {

    private ServiceRules toServiceRules() {
      return new ServiceRules(
          micros(answerSlackMs),
          micros(drainGraceMs),
          coldShare,
          micros(warmUpMs),
          overloadFactor,
          micros(overloadWindowMs),
          micros(releaseWithinMs));
    }
  }

  /**
   * How the gateway sheds load when it is overloaded itself, and what counts as a stall of the
   * process; see {@code lemondock.overload}.
   */
  public record Overload(
      boolean refuse,
      boolean gradient,
      double targetMs,
      double intervalMs,
      double drainMs,
      double step,
      double leastShare,
      double adviceMs,
      double mostAdviceMs,
      double stallMs,
      double stallGraceMs,
      double softPart,
      double hardPart,
      double risePerSecond,
      double repeatPart,
      double repeatsPerSecond,
      double repeatHalfLifeMs,
      int heavyBytes,
      int heavyThreads,
      int heavyQueue) {

    /** Converts to the settings of {@link Admission}, times in microseconds. */
    public Admission.Settings toAdmissionSettings() {
      return new Admission.Settings(
          micros(targetMs),
          micros(intervalMs),
          micros(drainMs),
          step,
          leastShare,
          micros(adviceMs),
          micros(mostAdviceMs),
          new RetryBudget.Settings(repeatPart, repeatsPerSecond, micros(repeatHalfLifeMs)));
    }

    /** Converts to the settings that limit admission by the memory and file handles in use. */
    public ResourcePressure.Settings toResourcePressureSettings() {
      return new ResourcePressure.Settings(softPart, hardPart, risePerSecond);
    }
  }

  /**
   * The idempotency log, which remembers calls that must not run twice across a crash of the
   * gateway; see {@code lemondock.idempotency}. {@link GatewaySettings#durable} is null if there is
   * none.
   */
  public record Durable(
      String path, double keepMs, int mostCalls, long mostBytes, int mostWaiting, double waitMs) {}

  /**
   * Metrics reports and their destinations.
   *
   * @param instance distinguishes this gateway's metrics from others'; null: its name and the port
   *     it listens on, which is unique on one machine
   * @param host the host name sent to collectd; null: the machine's name
   * @param listen the address that {@code lemondock status} and {@code metrics} query; null: none
   * @param tallyFile the file that the final metrics are written to as JSON at shutdown; null: none
   */
  public record Reporting(
      String instance,
      String host,
      String listen,
      double tickMs,
      double intervalMs,
      long ringBytes,
      int ringSnapshots,
      int maxValues,
      int maxTenants,
      List<String> tenants,
      double mostAheadMs,
      double finishMs,
      String tallyFile,
      Detector detector,
      List<Destination> destinations) {}

  /** The settings of the degradation detector; see {@code CusumDetector.Options}. */
  public record Detector(
      double leastUsual,
      double mostUsual,
      double fall,
      double times,
      double threshold,
      double clear,
      double holdMs,
      double quietMs,
      double memory) {

    /** Converts to the detector's options, times in microseconds. */
    public CusumDetector.Options toCusumOptions() {
      return new CusumDetector.Options(
          leastUsual,
          mostUsual,
          fall,
          times,
          threshold,
          clear,
          micros(holdMs),
          micros(quietMs),
          memory);
    }
  }

  /**
   * One metrics collector.
   *
   * @param security null means none
   * @param counters null means {@link CollectdCounterType#DERIVE}
   */
  public record Destination(
      String name,
      DestinationKind kind,
      String address,
      String path,
      String prefix,
      Boolean tags,
      CollectdSecurityLevel security,
      String username,
      String authFile,
      Integer packetBytes,
      CollectdCounterType counters,
      int maxSnapshots,
      double resendMs,
      double stallMs,
      double connectTimeoutMs,
      double backoffMs,
      double maxBackoffMs) {}

  /** Format and level of the log. */
  public record Log(String format, String level) {}

  /** Converts milliseconds to microseconds, rounded to the nearest. */
  public static long micros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }

  /**
   * Converts to the router's settings, which identify request classes and server kinds by number
   * instead of by name.
   */
  public RouterSettings toRouterSettings() {
    return new RouterSettings(
        number,
        gateways,
        0,
        DEADLINE_RESOLUTION_MICROS,
        classes.stream().map(ClassSettings::toRequestClass).toList(),
        List.of(),
        kinds.stream().map(kind -> new ServerKind(kind.role(), kind.memoryTokens())).toList(),
        deploymentLimits(),
        rules.toServiceRules(),
        streamsResume,
        false);
  }

  private DeploymentLimits deploymentLimits() {
    return new DeploymentLimits(
        limits.maxAttempts(),
        true,
        false,
        false,
        false,
        true,
        micros(limits.retryAdviceMs()),
        micros(engines.connectTimeoutMs()),
        false);
  }
}
