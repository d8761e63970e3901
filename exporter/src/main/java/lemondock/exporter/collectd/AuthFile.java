package lemondock.exporter.collectd;

import java.util.List;
import java.util.Optional;

/**
 * collectd's file of users: lines {@code name: password}; empty lines and lines that begin with
 * {@code #} are skipped.
 */
public final class AuthFile {
  private AuthFile() {}

  /** The password of a user; empty if the lines do not name the user. */
  public static Optional<String> password(List<String> lines, String user) {
    for (String line : lines) {
      int colon = line.indexOf(':');
      if (!line.startsWith("#") && colon > 0 && line.substring(0, colon).strip().equals(user)) {
        return Optional.of(line.substring(colon + 1).strip());
      }
    }
    return Optional.empty();
  }
}
