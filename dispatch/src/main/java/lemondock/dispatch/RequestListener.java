package lemondock.dispatch;

/**
 * What becomes of it. One of {@link #served}, {@link #broke}, {@link #refused} and {@link #failed}
 * ends it, unless it is left; nothing follows. Called on the loop, never from within a call to the
 * ledger.
 */
public interface RequestListener<C extends StreamChunk> {
  /** A piece of the answer. */
  void chunk(C chunk);

  /** Where plain pieces of the running stream may go without the loop; null if they may not. */
  default EnginePort.Lane lane() {
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
