package lemondock.faultinjection;

/** The phase of a request that a model server runs. */
enum ServerRole {
  /** Reads prompts (prefill) and reserves their state. */
  READER("r"),
  /** Takes over reserved states and writes answers (decode). */
  WRITER("w");

  private final String code;

  ServerRole(String code) {
    this.code = code;
  }

  /** The kind of the server in endpoint lists; also the first letter of its id. */
  String code() {
    return code;
  }
}
