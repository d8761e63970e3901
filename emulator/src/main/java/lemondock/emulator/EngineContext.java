package lemondock.emulator;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import lemondock.net.Loop;

/**
 * What the jobs of one engine share. Loop thread only.
 *
 * @param random draws which requests the faults hit; the order of its draws is part of what a seed
 *     means
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
