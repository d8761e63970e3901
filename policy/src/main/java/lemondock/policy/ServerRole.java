package lemondock.policy;

/** What servers of a kind can do. */
public enum ServerRole {
  /** Reads prompts (prefill). */
  READER,
  /** Writes answers (decode). */
  WRITER,
  /** Reads prompts and writes the answers in place. */
  MIXED
}
