package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.overload.StallMonitor;

/**
 * Collaborators of a dispatcher.
 *
 * @param loop the event loop on whose thread the dispatcher runs
 * @param engines the adapter through which attempts are sent
 * @param endpoints finds servers by the router's ids
 * @param stallMonitor detects when this process was stalled
 * @param metrics counts attempts, reserved states and decisions
 * @param <P> the prompt that is sent to an engine
 * @param <S> a reserved state as the engines' protocol represents it
 * @param <C> an event of the output stream
 */
public record DispatcherEnvironment<P, S, C extends StreamChunk>(
    Loop loop,
    EnginePort<P, S, C> engines,
    EndpointRegistry endpoints,
    StallMonitor stallMonitor,
    AttemptMetrics metrics) {}
