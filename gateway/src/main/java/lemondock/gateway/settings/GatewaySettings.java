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
 * The settings of a gateway as the file states them; {@code gateway.schema.json} says what each
 * means and may be. Times are milliseconds, as their names tell.
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

  /** The clients' side. */
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

  /** The model servers' side. */
  public record Engines(
      String model,
      double connectTimeoutMs,
      double idleMs,
      double streamSilenceMs,
      int maxConnectionsPerServer,
      long maxReplyBytes,
      int maxEventBytes,
      String apiKey) {}

  /** Where the endpoint list comes from. */
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
   * One class of requests; a tool for the client.
   *
   * @param repeat whether its requests may be sent again
   * @param group the servers that drop repeats with a known idempotency key
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
     * The time (microseconds) that a client gives a prompt of so many tokens; it grows twice as
     * fast as the latency objective.
     */
    public long deadlineMicros(int promptTokens) {
      return micros(deadlineMs + 2 * aimMsPerThousandTokens * promptTokens / 1000);
    }

    /** Whether a request of the class may be sent again in any case. */
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

  /** One kind of server. */
  public record Kind(String name, ServerRole role, long memoryTokens) {}

  /** Bounds of the whole gateway. */
  public record Limits(
      int maxCalls,
      int maxWaitingAnswers,
      int maxAttempts,
      int maxResumptions,
      double retryAdviceMs,
      double stopNoticeMs,
      double stopWithinMs) {}

  /** The figures of the five rules. */
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
   * What to admit at the gateway's own limit, and what counts as a stall of the process; see {@code
   * lemondock.overload}.
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

    /** The same for the deciding module. */
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

    /** How memory and file handles in use bound what is admitted. */
    public ResourcePressure.Settings toResourcePressureSettings() {
      return new ResourcePressure.Settings(softPart, hardPart, risePerSecond);
    }
  }

  /**
   * Where calls that must not run twice are remembered over the gateway's death; see {@code
   * lemondock.idempotency}. Null for nowhere.
   */
  public record Durable(
      String path, double keepMs, int mostCalls, long mostBytes, int mostWaiting, double waitMs) {}

  /**
   * What is reported, and to whom.
   *
   * @param instance distinguishes this gateway's metrics from others'; null: its name and the port
   *     it listens on, which no two gateways of a machine share
   * @param host collectd's host; null: the machine's name
   * @param listen the address that {@code lemondock status} and {@code metrics} ask; null: none
   * @param tallyFile gets the final metrics as JSON at the end; null: none
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

  /** The detector of degradations; see {@code CusumDetector.Options}. */
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

    /** The same for the detector, times in microseconds. */
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
   * One collector.
   *
   * @param security null for none
   * @param counters null for {@link CollectdCounterType#DERIVE}
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

  /** The log's form. */
  public record Log(String format, String level) {}

  /** Microseconds of a time in milliseconds. */
  public static long micros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }

  /** The router's settings, which have numbers where these have names. */
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
