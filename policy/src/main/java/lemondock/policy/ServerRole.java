package lemondock.policy;

/** What a kind of server can do: read prompts, write answers, or both. */
public enum ServerRole {
  READER,
  WRITER,
  MIXED
}
