package lemondock.scenario;

import java.util.List;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/**
 * What was observed of a run from outside the gateways.
 *
 * @param settings the request classes and rule limits, which all gateways share; the rest is not
 *     used
 * @param events the traffic on the emulators' sockets, in any order
 * @param pauses time spans in which gateways were paused
 * @param endMicros end of the run, when nothing was in flight any more, in microseconds of the
 *     machine's monotonic clock
 */
public record ScenarioRecording(
    GatewaySettings settings,
    List<EngineSettings> engines,
    List<TrafficEvent> events,
    List<CallRecord> calls,
    List<GatewayKill> kills,
    List<GatewayPause> pauses,
    long endMicros) {}
