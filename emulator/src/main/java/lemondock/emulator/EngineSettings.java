package lemondock.emulator;

/**
 * Settings of an emulated engine, under the names that they have in the emulator's configuration.
 *
 * @param listen {@code HOST:PORT}; port 0 takes a free one
 * @param role {@code reader}, {@code writer} or {@code mixed}
 * @param kind the kind of server under which the catalogue lists it
 * @param slots requests that run at once
 * @param queue requests that may wait for a slot
 * @param memoryTokens tokens of all requests that run or wait and of all reserved states
 * @param readPerSecond prompt tokens that are read a second, in each slot
 * @param readMs time added to each prefill
 * @param firstMs time from the end of the prefill to the first token
 * @param tokenMs time between two tokens
 * @param coldShare share of its speed with which it starts
 * @param warmUpMs time until it has all of its speed
 * @param catalogue {@code HOST:PORT} where it registers itself; null for nowhere
 */
public record EngineSettings(
    String name,
    String listen,
    String role,
    String kind,
    String zone,
    String rack,
    int slots,
    int queue,
    long memoryTokens,
    double readPerSecond,
    double readMs,
    double firstMs,
    double tokenMs,
    double coldShare,
    double warmUpMs,
    String catalogue) {

  /** A fast engine for tests, of the kind named as its role, on a free port. */
  public static EngineSettings quick(String name, String role, String zone, String rack) {
    return new EngineSettings(
        name,
        "127.0.0.1:0",
        role,
        role,
        zone,
        rack,
        role.equals("reader") ? 8 : 64,
        64,
        200_000,
        100_000,
        1,
        1,
        1,
        0.3,
        0,
        null);
  }

  /** The same with other latencies, in milliseconds. */
  public EngineSettings withLatencies(double newReadMs, double newFirstMs, double newTokenMs) {
    return new EngineSettings(
        name,
        listen,
        role,
        kind,
        zone,
        rack,
        slots,
        queue,
        memoryTokens,
        readPerSecond,
        newReadMs,
        newFirstMs,
        newTokenMs,
        coldShare,
        warmUpMs,
        catalogue);
  }

  /** The same with other limits. */
  public EngineSettings withLimits(int newSlots, int newQueue, long newMemoryTokens) {
    return new EngineSettings(
        name,
        listen,
        role,
        kind,
        zone,
        rack,
        newSlots,
        newQueue,
        newMemoryTokens,
        readPerSecond,
        readMs,
        firstMs,
        tokenMs,
        coldShare,
        warmUpMs,
        catalogue);
  }

  /** The same with a warm-up. */
  public EngineSettings withWarmUp(double newColdShare, double newWarmUpMs) {
    return new EngineSettings(
        name,
        listen,
        role,
        kind,
        zone,
        rack,
        slots,
        queue,
        memoryTokens,
        readPerSecond,
        readMs,
        firstMs,
        tokenMs,
        newColdShare,
        newWarmUpMs,
        catalogue);
  }

  /** The same at another address. */
  public EngineSettings withListen(String newListen) {
    return new EngineSettings(
        name,
        newListen,
        role,
        kind,
        zone,
        rack,
        slots,
        queue,
        memoryTokens,
        readPerSecond,
        readMs,
        firstMs,
        tokenMs,
        coldShare,
        warmUpMs,
        catalogue);
  }
}
