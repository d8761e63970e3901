package lemondock.idempotency;

import java.io.IOException;

/** Thrown for a file that is named like a log but has another format. */
public final class LogFormatException extends IOException {
  private static final long serialVersionUID = 1;

  LogFormatException(String file, String expectedMagic, int foundBytes) {
    super(
        file
            + ": expected a log file that starts with "
            + expectedMagic
            + ", found a file of "
            + foundBytes
            + " bytes that does not");
  }
}
