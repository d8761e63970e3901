package lemondock.idempotency;

import java.io.IOException;

/** A file that should be a log is something else. */
public final class LogFormatException extends IOException {
  private static final long serialVersionUID = 1;

  LogFormatException(String file, String expectedMagic, int foundBytes) {
    super(
        file
            + ": expected a log that begins with "
            + expectedMagic
            + ", found "
            + foundBytes
            + " bytes of something else");
  }
}
