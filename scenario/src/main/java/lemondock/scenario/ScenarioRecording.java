package lemondock.scenario;

import java.util.List;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/**
 * What was observed of a run from outside the gateways.
 *
 * @param settings of any of the gateways: request classes and limits of the rules, which all share
 * @param events what passed on the emulators' sockets, in any order
 * @param pauses times for which gateways were paused
 * @param endMicros when the run was over and nothing was in flight any more
 */
public record ScenarioRecording(
    GatewaySettings settings,
    List<EngineSettings> engines,
    List<TrafficEvent> events,
    List<CallRecord> calls,
    List<GatewayKill> kills,
    List<GatewayPause> pauses,
    long endMicros) {}
