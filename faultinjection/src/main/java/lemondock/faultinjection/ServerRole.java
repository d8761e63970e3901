package lemondock.faultinjection;

/** What a model server does for a request. */
enum ServerRole {
  /** Reads prompts (prefill) and reserves their state. */
  READER("r"),
  /** Takes reserved states and writes answers (decode). */
  WRITER("w");

  private final String code;

  ServerRole(String code) {
    this.code = code;
  }

  /** The kind of the server in endpoint lists, and the first letter of its id. */
  String code() {
    return code;
  }
}
