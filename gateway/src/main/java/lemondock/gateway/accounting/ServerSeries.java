package lemondock.gateway.accounting;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Series;
import lemondock.policy.ServerRole;

/** The series of one metric family by role and zone of servers. Loop thread only. */
final class ServerSeries {
  private final MetricFamily family;
  private final MetricRegistry registry;
  private final BoundedLabels zones;
  private final Map<ServerRole, Map<String, Series>> byRoleAndZone =
      new EnumMap<>(ServerRole.class);

  ServerSeries(MetricFamily family, MetricRegistry registry, BoundedLabels zones) {
    this.family = family;
    this.registry = registry;
    this.zones = zones;
  }

  /**
   * The series of servers of a role and zone. May record a label overflow, so it must not be called
   * within an update of the recorder.
   */
  Series seriesFor(ServerRole role, String zone) {
    Map<String, Series> byZone = byRoleAndZone.computeIfAbsent(role, newRole -> new HashMap<>());
    Series existing = byZone.get(zone);
    if (existing != null) {
      return existing;
    }
    return byZone.computeIfAbsent(
        zones.labelFor(zone),
        label -> registry.series(family, role.name().toLowerCase(Locale.ROOT), label));
  }

  /** All series created so far. */
  List<Series> allSeries() {
    List<Series> allSeries = new ArrayList<>();
    byRoleAndZone.values().forEach(byZone -> allSeries.addAll(byZone.values()));
    return allSeries;
  }
}
