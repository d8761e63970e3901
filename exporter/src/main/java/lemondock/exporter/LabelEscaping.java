package lemondock.exporter;

import java.nio.charset.StandardCharsets;

/**
 * Percent-encodes label values for collectors. Characters that may have a meaning in a protocol are
 * written as {@code %XX}. This includes the percent sign, so that distinct values have distinct
 * encodings.
 */
public final class LabelEscaping {
  private static final char[] HEX_DIGITS = "0123456789ABCDEF".toCharArray();

  /** Encoding of the empty value; no other value is encoded as this. */
  private static final String EMPTY_VALUE = "%";

  private LabelEscaping() {}

  /**
   * Escapes a value: keeps ASCII letters, digits, {@code _} and {@code -} and escapes each UTF-8
   * byte of all other characters. The result is never empty.
   */
  public static String escape(String value) {
    if (value.isEmpty()) {
      return EMPTY_VALUE;
    }
    if (value.chars().allMatch(LabelEscaping::isUnreserved)) {
      return value;
    }
    StringBuilder escaped = new StringBuilder();
    for (byte octet : value.getBytes(StandardCharsets.UTF_8)) {
      if (isUnreserved(octet)) {
        escaped.append((char) octet);
      } else {
        escaped.append('%').append(HEX_DIGITS[octet >> 4 & 15]).append(HEX_DIGITS[octet & 15]);
      }
    }
    return escaped.toString();
  }

  private static boolean isUnreserved(int character) {
    return character >= 'a' && character <= 'z'
        || character >= 'A' && character <= 'Z'
        || character >= '0' && character <= '9'
        || character == '_'
        || character == '-';
  }
}
