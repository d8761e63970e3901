package lemondock.exporter.collectd;

import java.util.List;
import java.util.Optional;

/**
 * Parses collectd's file of users and passwords: lines {@code name: password}. Empty lines and
 * lines that begin with {@code #} are skipped.
 */
public final class AuthFile {
  private static final String COMMENT_PREFIX = "#";
  private static final char SEPARATOR = ':';

  private AuthFile() {}

  /** The password of a user; empty if no line is for that user. */
  public static Optional<String> password(List<String> lines, String username) {
    for (String line : lines) {
      int separator = line.indexOf(SEPARATOR);
      if (!line.startsWith(COMMENT_PREFIX)
          && separator > 0
          && line.substring(0, separator).strip().equals(username)) {
        return Optional.of(line.substring(separator + 1).strip());
      }
    }
    return Optional.empty();
  }
}
