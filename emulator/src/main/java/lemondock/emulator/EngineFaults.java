package lemondock.emulator;

/**
 * What is wrong with a stand-in engine at the moment; each is off at first. Set on the engine's
 * loop.
 */
public final class EngineFaults {
  /** Share of requests that are answered with status 500, after the work of a first token. */
  public double errors;

  /** Share of requests whose work is done though no answer ever comes. */
  public double lostAnswers;

  /** All work takes this many times as long. */
  public double slow = 1;

  /** Accepts requests and does nothing with them. */
  public boolean silent;

  /** Writers break the connection after this many tokens of a stream; negative: they do not. */
  public int breakAfter = -1;

  /** Streams stop without a word after this many tokens; negative: they do not. */
  public int stallAfter = -1;

  /** What is sent raw, in place of any response, before the connection is closed; null: nothing. */
  public byte[] raw;

  /** What is sent as the data of the second event of a stream; null: nothing. */
  public String badEvent;

  /**
   * How many more requests the stream faults and {@link #raw} hit; each hit counts one down.
   * Engines may share them.
   */
  public Hits hits = new Hits(Integer.MAX_VALUE);

  /** Answers 429 to all. */
  public boolean full;

  /** Loses kept states before a writer fetches them. */
  public boolean dropStates;

  /** A number of hits, for engines of one loop. */
  public static final class Hits {
    private int left;

    /** So many. */
    public Hits(int left) {
      this.left = left;
    }
  }

  /** Takes one hit, if any is left. */
  boolean hit() {
    return hits.left > 0 && hits.left-- > 0;
  }
}
