package lemondock.gateway.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects the problems of one settings file, so that all are reported at once. */
final class SettingsProblems {
  private final String file;
  private final List<String> problems = new ArrayList<>();

  SettingsProblems(String file) {
    this.file = file;
  }

  /** Adds a problem at the place that a JSON pointer names. */
  void add(String pointer, String expectedAndFound) {
    problems.add(file + ": " + pointer + ": " + expectedAndFound);
  }

  /** Adds a problem if an address is no HOST:PORT. */
  void checkAddress(String pointer, String address) {
    try {
      SettingsFile.resolveAddress(address);
    } catch (IllegalArgumentException e) {
      add(pointer, "expected HOST:PORT with a port up to 65535, found " + address);
    }
  }

  /** Adds a problem if a value is less than another setting. */
  void checkAtLeast(String pointer, double value, String otherName, double other) {
    if (value < other) {
      add(pointer, "expected at least " + otherName + " (" + other + "), found " + value);
    }
  }

  /**
   * Throws if there are problems.
   *
   * @throws SettingsException of all of them
   */
  void throwIfAny() throws SettingsException {
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
  }
}
