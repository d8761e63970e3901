package lemondock.emulator;

/**
 * What a stand-in engine is; times in milliseconds, lengths in tokens.
 *
 * @param role {@code reader}, {@code writer} or {@code mixed}
 * @param slots requests at work at once
 * @param queue requests that may wait for a slot
 * @param memoryTokens tokens of all that is at work or kept for a writer
 * @param readPerSecond tokens read a second, in each slot
 * @param readMs added to each read
 * @param firstMs from a writer's slot to the first token
 * @param tokenMs between two tokens
 * @param coldShare part of its speed with which it starts
 * @param warmUpMs until it has all of its speed
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

  /** A quick engine for tests, of the kind named as its role, on a free port. */
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

  /** The same with other paces. */
  public EngineSettings withLatencies(double reads, double first, double token) {
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
        reads,
        first,
        token,
        coldShare,
        warmUpMs,
        catalogue);
  }

  /** The same with other bounds. */
  public EngineSettings withLimits(int most, int waiting, long memory) {
    return new EngineSettings(
        name,
        listen,
        role,
        kind,
        zone,
        rack,
        most,
        waiting,
        memory,
        readPerSecond,
        readMs,
        firstMs,
        tokenMs,
        coldShare,
        warmUpMs,
        catalogue);
  }

  /** The same with a warm-up. */
  public EngineSettings withWarmUp(double share, double time) {
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
        share,
        time,
        catalogue);
  }

  /** The same on a port. */
  public EngineSettings withListen(String address) {
    return new EngineSettings(
        name,
        address,
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
