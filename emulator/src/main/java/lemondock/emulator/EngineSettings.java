package lemondock.emulator;

/**
 * Settings of an emulated engine. The components have the names of the emulator's configuration.
 *
 * @param listen {@code HOST:PORT}; port 0 chooses a free one
 * @param role {@code reader}, {@code writer} or {@code mixed}
 * @param kind the server kind that the engine registers in the catalogue
 * @param slots requests that run concurrently
 * @param queue requests that may wait for a slot
 * @param memoryTokens capacity for the tokens of running and queued requests and reserved states
 * @param readPerSecond prompt tokens that each slot prefills per second
 * @param readMs fixed time added to each prefill
 * @param firstMs time from the end of the prefill to the first token
 * @param tokenMs time between two tokens
 * @param coldShare share of the full speed, 0 to 1, at which the engine starts
 * @param warmUpMs time from the start until the engine reaches its full speed
 * @param catalogue {@code HOST:PORT} of the catalogue where the engine registers; null for none
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

  /** Returns settings of a fast engine for tests, on a free port; its kind is its role. */
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

  /** Returns a copy with other latencies, in milliseconds. */
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

  /** Returns a copy with other limits on slots, queued requests and tokens in memory. */
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

  /** Returns a copy with another warm-up: the initial share of the speed and the duration. */
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

  /** Returns a copy that listens on another address, {@code HOST:PORT}. */
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
