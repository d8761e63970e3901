package lemondock.policy;

/** What servers of a kind can do: read prompts, write answers, or both. */
public enum ServerRole {
  READER,
  WRITER,
  MIXED
}
