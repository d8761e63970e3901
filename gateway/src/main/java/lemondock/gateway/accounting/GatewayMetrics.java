package lemondock.gateway.accounting;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lemondock.dispatch.AttemptMetrics;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.BoundedNames;
import lemondock.metrics.Metrics;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.metrics.Tally;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * What a gateway counts on its decision loop. Series are looked up once and kept; the names of
 * tenants and zones, which others choose, are bounded. Loop thread only, but for {@link #tally}.
 */
public final class GatewayMetrics implements AttemptMetrics {
  /** The tenant of a request that names none. */
  public static final String NO_TENANT = "none";

  /**
   * The field of {@link Metrics#REQUESTS} for served; those of the other endings follow in the
   * order of their enum.
   */
  static final int SERVED = 2;

  private static final int REFUSED = 3;
  private static final int SENT = 0;
  private static final int MOST_ZONES = 64;
  private static final List<AttemptOutcome> ATTEMPT_FIELDS =
      List.of(
          AttemptOutcome.OK,
          AttemptOutcome.READ,
          AttemptOutcome.ERROR,
          AttemptOutcome.FULL,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET,
          AttemptOutcome.CANCELLED,
          AttemptOutcome.MOOT);

  private final GatewaySettings settings;
  private final Tally tally;
  private final Recorder recorder;
  private final List<ClassSeries> classes = new ArrayList<>();
  private final BoundedNames tenants;
  private final BoundedNames zones;
  private final Map<ServerRole, Map<String, Series>> attempts = new EnumMap<>(ServerRole.class);
  private final Map<ServerRole, Map<String, Series>> servers = new EnumMap<>(ServerRole.class);
  private final Map<String, Series[]> held = new HashMap<>();
  private final Series gateway;
  private final Series module;
  private final Series lag;
  private final Series overload;
  private final Series otherTenants;
  private final Series otherZones;

  /** The series of one class, which any of its requests shares. */
  static final class ClassSeries {
    final long worth;
    final long lateWorth;
    final double tokenAim;
    final Series verdicts;
    final Series tools;
    final Series firstToken;
    final Series tokenPace;
    final Series wholeTime;
    final Map<String, TenantSeries> byTenant = new HashMap<>();

    ClassSeries(Tally tally, GatewaySettings.ClassSettings c, String zone) {
      worth = Math.round(c.worth() * Metrics.WORTH_ONE);
      lateWorth = Math.round(c.worth() * c.lateWorth() * Metrics.WORTH_ONE);
      tokenAim = GatewaySettings.micros(c.tokenAimMs());
      verdicts = tally.series(Metrics.VERDICTS, c.name(), zone);
      tools = tally.series(Metrics.TOOLS, c.name());
      firstToken = tally.series(Metrics.FIRST_TOKEN, c.name());
      tokenPace = tally.series(Metrics.TOKEN_PACE, c.name());
      wholeTime = tally.series(Metrics.WHOLE_TIME, c.name());
    }
  }

  /** The series of one class and tenant. */
  record TenantSeries(Series worth, Series requests) {}

  /** Makes a count of its own tally, for the thread that the gateway decides on. */
  public GatewayMetrics(GatewaySettings settings) {
    this.settings = settings;
    this.tally = new Tally(settings.reporting().maxValues());
    this.recorder = tally.recorder();
    this.tenants =
        new BoundedNames(
            with(settings.reporting().tenants(), NO_TENANT), settings.reporting().maxTenants());
    this.zones = new BoundedNames(List.of(settings.zone()), MOST_ZONES);
    this.gateway = tally.series(Metrics.GATEWAY);
    this.module = tally.series(Metrics.MODULE);
    this.lag = tally.series(Metrics.LOOP_LAG);
    this.overload = tally.series(Metrics.OVERLOAD);
    this.otherTenants = tally.series(Metrics.BOUNDS, "tenant");
    this.otherZones = tally.series(Metrics.BOUNDS, "zone");
    settings.classes().forEach(c -> classes.add(new ClassSeries(tally, c, settings.zone())));
  }

  private static List<String> with(List<String> some, String one) {
    List<String> all = new ArrayList<>(some);
    all.add(one);
    return all;
  }

  /** What was counted; its snapshot may be taken on any thread. */
  public Tally tally() {
    return tally;
  }

  Recorder recorder() {
    return recorder;
  }

  // ==== requests

  /** A request was taken. Times in microseconds. */
  public CallMetrics taken(int classId, String tenant, boolean repeat, int promptTokens, long now) {
    ClassSeries of = classes.get(classId);
    TenantSeries request = request(of, classId, tenant);
    long ticket = recorder.enter();
    count(of, request, repeat);
    recorder.exit(ticket);
    GatewaySettings.ClassSettings c = settings.classes().get(classId);
    long aim = GatewaySettings.micros(c.aimMs() + c.aimMsPerThousandTokens() * promptTokens / 1000);
    return new CallMetrics(this, of, request, now, aim);
  }

  /**
   * A request was turned away before it was taken, for a bound of the gateway or because it stops.
   */
  public void turnedAway(int classId, String tenant, boolean repeat) {
    ClassSeries of = classes.get(classId);
    TenantSeries request = request(of, classId, tenant);
    final long ticket = recorder.enter();
    count(of, request, repeat);
    recorder.add(request.requests.slot(REFUSED), 1);
    recorder.add(of.verdicts.slot(1), 1);
    recorder.exit(ticket);
  }

  private void count(ClassSeries of, TenantSeries request, boolean repeat) {
    recorder.add(request.requests.slot(0), 1);
    recorder.add(request.requests.slot(1), repeat ? 1 : 0);
    recorder.add(request.worth.slot(repeat ? 1 : 0), of.worth);
  }

  private TenantSeries request(ClassSeries of, int classId, String tenant) {
    String label = bounded(tenants, otherTenants, tenant == null ? NO_TENANT : tenant);
    TenantSeries found = of.byTenant.get(label);
    if (found == null) {
      String name = settings.classes().get(classId).name();
      found =
          new TenantSeries(
              tally.series(Metrics.WORTH, name, settings.zone(), label),
              tally.series(Metrics.REQUESTS, name, settings.zone(), label));
      of.byTenant.put(label, found);
    }
    return found;
  }

  private String bounded(BoundedNames names, Series others, String name) {
    long before = names.turnedAway();
    String label = names.label(name);
    if (names.turnedAway() != before) {
      recorder.count(others.first());
    }
    return label;
  }

  // ==== attempts and states

  /** An attempt is made at a server. */
  public void sent(ServerRole role, String zone) {
    recorder.count(byServer(attempts, Metrics.ATTEMPTS, role, zone).slot(SENT));
  }

  /** An attempt has ended. */
  public void attemptEnded(ServerRole role, String zone, AttemptOutcome ending) {
    recorder.count(
        byServer(attempts, Metrics.ATTEMPTS, role, zone).slot(1 + ATTEMPT_FIELDS.indexOf(ending)));
  }

  private Series byServer(
      Map<ServerRole, Map<String, Series>> in,
      lemondock.metrics.Family family,
      ServerRole role,
      String zone) {
    Map<String, Series> byZone = in.computeIfAbsent(role, r -> new HashMap<>());
    Series found = byZone.get(zone);
    if (found == null) {
      String label = bounded(zones, otherZones, zone);
      found = byZone.get(label);
      if (found == null) {
        found = tally.series(family, role.name().toLowerCase(Locale.ROOT), label);
        byZone.put(label, found);
      }
    }
    return found;
  }

  /** A read left a state at a server of the zone. */
  public void stateMade(String zone) {
    state(zone, 0, 1, -1);
  }

  /** A writer took a state that had waited for so many microseconds. */
  public void stateFetched(String zone, long waited) {
    state(zone, 1, -1, waited);
  }

  /** A state was let go unused after so many microseconds. */
  public void stateLetGo(String zone, long waited) {
    state(zone, 2, -1, waited);
  }

  private void state(String zone, int field, int change, long waited) {
    Series[] of = held.get(zone);
    if (of == null) {
      String label = bounded(zones, otherZones, zone);
      of =
          held.computeIfAbsent(
              label,
              z ->
                  new Series[] {tally.series(Metrics.HELD, z), tally.series(Metrics.HELD_TIME, z)});
    }
    final long ticket = recorder.enter();
    recorder.add(of[0].slot(field), 1);
    recorder.add(of[0].slot(3), change);
    if (waited >= 0) {
      recorder.record(of[1], waited);
    }
    recorder.exit(ticket);
  }

  // ==== gauges

  /** What the gateway has in hand; {@code uptime} in seconds. */
  public void inHand(
      long calls, long legs, long sessions, long streams, long relayed, long listed, long uptime) {
    long[] values = {calls, legs, sessions, streams, relayed, listed, uptime};
    long ticket = recorder.enter();
    for (int i = 0; i < values.length; i++) {
      recorder.set(gateway.slot(i), values[i]);
    }
    recorder.exit(ticket);
  }

  /** The decision loop ran a timer so many microseconds late. */
  public void lag(long micros) {
    recorder.time(lag, micros);
  }

  /** The gateway's own limit: the share let in, stalls and their sum in microseconds. */
  public void limit(double share, long stalls, long stalled) {
    long ticket = recorder.enter();
    recorder.set(overload.slot(0), Math.round(share * 1_000));
    recorder.set(overload.slot(2), stalls);
    recorder.set(overload.slot(3), stalled);
    recorder.exit(ticket);
  }

  /** A request was refused because the gateway is late; it is counted as turned away too. */
  public void refusedLate() {
    recorder.count(overload.slot(1));
  }

  /** Takes a look at the module; {@code zones} names the zone of a server's number, or null. */
  public RouterStateVisitor look(java.util.function.LongFunction<String> zoneOf) {
    Map<Series, long[]> sums = new HashMap<>();
    servers.values().forEach(byZone -> byZone.values().forEach(s -> sums.put(s, new long[4])));
    return new RouterStateVisitor() {
      @Override
      public void server(
          long id, ServerRole role, ServerLifecycle standing, boolean cold, boolean healthy) {
        String zone = zoneOf.apply(id);
        if (zone != null) {
          long[] sum =
              sums.computeIfAbsent(
                  byServer(servers, Metrics.SERVERS, role, zone), s -> new long[4]);
          boolean ready = standing == ServerLifecycle.READY;
          sum[ready ? 0 : 1]++;
          sum[2] += ready && cold ? 1 : 0;
          sum[3] += ready && !healthy ? 1 : 0;
        }
      }

      @Override
      public void all(int parked, long tokensUnderWay, long room) {
        final long ticket = recorder.enter();
        recorder.set(module.slot(0), parked);
        recorder.set(module.slot(1), tokensUnderWay);
        recorder.set(module.slot(2), room);
        sums.forEach(
            (s, sum) -> {
              for (int i = 0; i < sum.length; i++) {
                recorder.set(s.slot(i), sum[i]);
              }
            });
        recorder.exit(ticket);
      }
    };
  }
}
