package lemondock.policy;

/** What the servers of a kind can do: prefill, decode or both. */
public enum ServerRole {
  /** Reads prompts (prefill). */
  READER,
  /** Writes answers (decode). */
  WRITER,
  /** Reads prompts and writes their answers on the same server. */
  MIXED
}
