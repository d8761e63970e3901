package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.overload.StallMonitor;

/**
 * What a dispatcher works with.
 *
 * @param loop the loop whose thread it runs on
 * @param engines where attempts are sent
 * @param endpoints the servers by the router's numbers
 * @param stallMonitor knows when this process stood still
 * @param metrics hears what is to be counted
 * @param <P> the prompt that an engine gets
 * @param <S> how the engines' protocol names a reserved state
 * @param <C> an event of the output stream
 */
public record DispatcherEnvironment<P, S, C extends StreamChunk>(
    Loop loop,
    EnginePort<P, S, C> engines,
    EndpointRegistry endpoints,
    StallMonitor stallMonitor,
    AttemptMetrics metrics) {}
