package lemondock.emulator;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import lemondock.net.Loop;

/**
 * Components of one engine that its jobs share. Loop thread only.
 *
 * @param random draws which requests a fault affects; a seed reproduces a run only if the order of
 *     the draws stays the same
 * @param address the engine's own address
 */
record EngineContext(
    Loop loop,
    EngineSettings settings,
    EngineFaults faults,
    SplittableRandom random,
    TrafficRecorder traffic,
    EngineClock clock,
    RequestScheduler scheduler,
    PrefixCache prefixCache,
    ReservedStates states,
    StateFetcher stateFetcher,
    Supplier<InetSocketAddress> address) {}
