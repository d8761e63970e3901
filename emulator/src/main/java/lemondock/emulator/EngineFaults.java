package lemondock.emulator;

/** The faults that an emulated engine injects; none by default. The engine's loop thread only. */
public final class EngineFaults {
  /**
   * Share of requests, 0 to 1, that get status 500 when their prefill is done or their first token
   * is due.
   */
  public double errorShare;

  /** Share of requests, 0 to 1, whose work is done but whose response is never sent. */
  public double lostAnswerShare;

  /** Factor by which all work takes longer. */
  public double slowdown = 1;

  /** Accepts requests and never responds to them. */
  public boolean silent;

  /** Breaks a stream's connection after this many tokens; negative for never. */
  public int breakAfterTokens = -1;

  /** Stalls a stream, with its connection open, after this many tokens; negative for never. */
  public int stallAfterTokens = -1;

  /**
   * Bytes that are sent as the body of a stream instead of the response, before the connection is
   * aborted; null for none.
   */
  public byte[] rawResponse;

  /** Data of an event that is sent instead of a stream's second token; null for none. */
  public String malformedEvent;

  /**
   * How many more times a stream fault or {@link #rawResponse} is injected. Engines of one loop may
   * share the counter.
   */
  public Hits hits = new Hits(Integer.MAX_VALUE);

  /** Rejects all requests as overloaded. */
  public boolean rejectsAll;

  /** Loses reserved states before a writer fetches them. */
  public boolean losesStates;

  /** Counts down the remaining injections of a fault. Loop thread only. */
  public static final class Hits {
    private int remaining;

    /** Allows the given number of injections. */
    public Hits(int remaining) {
      this.remaining = remaining;
    }

    private boolean take() {
      return remaining > 0 && remaining-- > 0;
    }
  }

  /** Takes one injection from {@link #hits}; returns false if none remains. */
  boolean takeHit() {
    return hits.take();
  }
}
