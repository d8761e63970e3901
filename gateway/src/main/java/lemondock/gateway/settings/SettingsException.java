package lemondock.gateway.settings;

import java.util.List;

/**
 * Settings that cannot be used; each problem names file, pointer, what was expected and what was
 * found.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<String> problems;

  /** Makes one of at least one problem. */
  public SettingsException(List<String> problems) {
    super(String.join("\n", problems));
    this.problems = List.copyOf(problems);
  }

  /** The problems, a line each. */
  public List<String> problems() {
    return problems;
  }
}
