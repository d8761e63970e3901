package lemondock.dispatch;

/** One request as the module knows it: a prompt that is read once and answered once. */
public final class Leg {
  private Leg() {}

  /**
   * What is asked for.
   *
   * @param session the key of the conversation; its legs share it
   * @param prefix the key of the opening that the prompt shares with others, 0 if none
   * @param prefixTokens tokens of that opening
   * @param patience microseconds from now within which the first token must come
   * @param resumed whether it goes on with an answer that broke
   * @param shard of the client's connection: the writer's is best there too
   * @param prompt what the engine gets
   * @param <P> its form
   */
  public record Spec<P>(
      int classId,
      int tenant,
      long session,
      long prefix,
      int promptTokens,
      int prefixTokens,
      int maxTokens,
      long patience,
      boolean clientRepeat,
      boolean resumed,
      int shard,
      P prompt) {}

  /**
   * What becomes of it. One of {@link #served}, {@link #broke}, {@link #refused} and {@link
   * #failed} ends it, unless it is left; nothing follows. Called on the loop, never from within a
   * call to the ledger.
   */
  public interface Listener<C extends Piece> {
    /** A piece of the answer. */
    void chunk(C chunk);

    /** Where plain pieces of the running stream may go without the loop; null if they may not. */
    default Engines.Lane lane() {
      return null;
    }

    /** The answer is whole. */
    void served();

    /** The answer broke after pieces of it had come. */
    void broke(String what);

    /** It was turned away and had no effect; trying again is harmless. 0: no advice when. */
    void refused(long retryAfterMicros);

    /** It was given up, with nothing promised of what may have run. */
    void failed();
  }
}
