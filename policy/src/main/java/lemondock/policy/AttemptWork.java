package lemondock.policy;

/** What one attempt asks of its server: a read (prefill), a write (decode), or both. */
enum AttemptWork {
  /** Read the prompt and hold its state for a writer. */
  READ,
  /** Write the answer from the state that a reader holds. */
  WRITE,
  /** Read the prompt and write the answer at the same mixed server. */
  READ_AND_WRITE;

  boolean reads() {
    return this != WRITE;
  }

  boolean writes() {
    return this != READ;
  }
}
