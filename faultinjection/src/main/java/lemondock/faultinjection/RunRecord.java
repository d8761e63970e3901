package lemondock.faultinjection;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The events of a run as clients, servers, discovery agents and the senders of signals observed
 * them, independent of what the gateways report. Thread-safe; complete once all of these have
 * stopped.
 */
final class RunRecord implements AutoCloseable {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Map<String, ClientCall> calls = new ConcurrentHashMap<>();
  private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final Queue<Release> releases = new ConcurrentLinkedQueue<>();
  private final Queue<ServerStart> serverStarts = new ConcurrentLinkedQueue<>();
  private final Queue<Announcement> announcements = new ConcurrentLinkedQueue<>();
  private final Map<String, Double> serverCapacities = new ConcurrentHashMap<>();
  private final List<GatewayIncarnation> incarnations = new CopyOnWriteArrayList<>();
  private final ReservedStateTable reservedStates = new ReservedStateTable();
  private final MachineStalls stalls = new MachineStalls();
  private final long originMicros = MonotonicClock.nowMicros();

  /** The arrival of a release of reserved state at a running server. */
  record Release(String requestId, String serverId, long arrivedMicros) {}

  /** The start of a new process of a server. */
  record ServerStart(String serverId, long startedMicros) {}

  /**
   * A server's entry in an endpoint list, or in an update of one, that discovery has written to a
   * gateway.
   */
  record Announcement(String gatewayName, String serverId, ListedState state, long writtenMicros) {}

  void addCall(ClientCall call) {
    calls.put(call.id(), call);
  }

  void addArrival(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Records that a release arrives now. */
  void addRelease(String requestId, String serverId) {
    releases.add(new Release(requestId, serverId, MonotonicClock.nowMicros()));
  }

  /** Records that a new process of a server starts now. */
  void addServerStart(String serverId) {
    serverStarts.add(new ServerStart(serverId, MonotonicClock.nowMicros()));
  }

  void addAnnouncement(Announcement announcement) {
    announcements.add(announcement);
  }

  /** Sets how many calls per second a server answers when it is warm. */
  void setServerCapacity(String serverId, double callsPerSecond) {
    serverCapacities.put(serverId, callsPerSecond);
  }

  void addIncarnation(GatewayIncarnation incarnation) {
    incarnations.add(incarnation);
  }

  Collection<ClientCall> calls() {
    return calls.values();
  }

  /** The call with that id; empty for requests that no client sent, such as health checks. */
  Optional<ClientCall> call(String id) {
    return Optional.ofNullable(calls.get(id));
  }

  Collection<Arrival> arrivals() {
    return arrivals;
  }

  Collection<Release> releases() {
    return releases;
  }

  Collection<ServerStart> serverStarts() {
    return serverStarts;
  }

  Collection<Announcement> announcements() {
    return announcements;
  }

  /** Calls per second that a server answers when it is warm; 0 for an unknown server. */
  double serverCapacity(String serverId) {
    return serverCapacities.getOrDefault(serverId, 0.0);
  }

  List<GatewayIncarnation> incarnations() {
    return incarnations;
  }

  /** The process of a gateway that was running at that time. */
  Optional<GatewayIncarnation> incarnationAt(String gatewayName, long timeMicros) {
    return incarnations.stream()
        .filter(incarnation -> incarnation.gatewayName().equals(gatewayName))
        .filter(incarnation -> incarnation.wasRunningAt(timeMicros))
        .findFirst();
  }

  ReservedStateTable reservedStates() {
    return reservedStates;
  }

  MachineStalls stalls() {
    return stalls;
  }

  /** Formats a time as seconds since the start of the run. */
  String formatTime(long timeMicros) {
    return String.format("%.3f", (timeMicros - originMicros) / MICROS_PER_SECOND);
  }

  /** Stops the detection of machine stalls. */
  @Override
  public void close() {
    stalls.close();
  }
}
