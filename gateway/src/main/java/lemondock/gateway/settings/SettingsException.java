package lemondock.gateway.settings;

import java.util.List;

/**
 * Thrown if settings cannot be used. Each problem names the file, the JSON pointer, what was
 * expected and what was found.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<String> problems;

  /** Creates an exception for one or more problems. */
  public SettingsException(List<String> problems) {
    super(String.join("\n", problems));
    this.problems = List.copyOf(problems);
  }

  /** The problems, each a single line. */
  public List<String> problems() {
    return problems;
  }
}
