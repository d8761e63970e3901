package lemondock.gateway.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects all problems of one settings file, so that they are reported together. */
final class SettingsProblems {
  private final String file;
  private final List<String> problems = new ArrayList<>();

  SettingsProblems(String file) {
    this.file = file;
  }

  /** Adds a problem at the setting that a JSON pointer names. */
  void add(String pointer, String expectedAndFound) {
    problems.add(file + ": " + pointer + ": " + expectedAndFound);
  }

  /** Adds a problem if an address is not HOST:PORT. */
  void checkAddress(String pointer, String address) {
    try {
      SettingsFile.resolveAddress(address);
    } catch (IllegalArgumentException e) {
      add(pointer, "expected HOST:PORT with a port up to 65535, found " + address);
    }
  }

  /** Adds a problem if a value is less than that of another setting. */
  void checkAtLeast(String pointer, double value, String minimumName, double minimum) {
    if (value < minimum) {
      add(pointer, "expected at least " + minimumName + " (" + minimum + "), found " + value);
    }
  }

  /**
   * Throws if there are any problems.
   *
   * @throws SettingsException with all of them
   */
  void throwIfAny() throws SettingsException {
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
  }
}
