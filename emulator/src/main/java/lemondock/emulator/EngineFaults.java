package lemondock.emulator;

/** What is wrong with an emulated engine at the moment; nothing at first. Engine's loop only. */
public final class EngineFaults {
  /** Share of requests that are answered with status 500, after the work of a first token. */
  public double errorShare;

  /** Share of requests whose work is done though no answer ever comes. */
  public double lostAnswerShare;

  /** All work takes this many times as long. */
  public double slowdown = 1;

  /** Accepts requests and does nothing with them. */
  public boolean silent;

  /** Writers break the connection after this many tokens of a stream; negative: they do not. */
  public int breakAfterTokens = -1;

  /** Streams stop without an end after this many tokens; negative: they do not. */
  public int stallAfterTokens = -1;

  /**
   * What is sent as the body of a stream in place of any response, before the connection is closed;
   * null: nothing.
   */
  public byte[] rawResponse;

  /** What is sent as the data of the second event of a stream; null: nothing. */
  public String malformedEvent;

  /**
   * How many more requests the stream faults and {@link #rawResponse} hit; each hit counts one
   * down. Engines of one loop may share them.
   */
  public Hits hits = new Hits(Integer.MAX_VALUE);

  /** Rejects all requests as overloaded. */
  public boolean rejectsAll;

  /** Loses reserved states before a writer fetches them. */
  public boolean losesStates;

  /** A number of hits, for engines of one loop. */
  public static final class Hits {
    private int left;

    /** So many. */
    public Hits(int left) {
      this.left = left;
    }

    private boolean take() {
      return left > 0 && left-- > 0;
    }
  }

  /** Takes one hit, if any is left. */
  boolean takeHit() {
    return hits.take();
  }
}
