package lemondock.policy;

/** What one attempt asks of its server. */
enum AttemptWork {
  /** Read the prompt and keep the state for a writer. */
  READ,
  /** Write the answer from a state that a reader holds. */
  WRITE,
  /** Read the prompt and write the answer in place, at a mixed server. */
  READ_AND_WRITE;

  boolean reads() {
    return this != WRITE;
  }

  boolean writes() {
    return this != READ;
  }
}
