package lemondock.exporter;

import java.nio.charset.StandardCharsets;

/**
 * Names as collectors take them. What a protocol gives a meaning is written as {@code %XX}, the
 * percent sign too, so that two names never become one.
 */
public final class Labels {
  private static final char[] HEX = "0123456789ABCDEF".toCharArray();

  private Labels() {}

  /**
   * Letters, digits, {@code _} and {@code -} as they are, all else escaped byte by byte of UTF-8;
   * never empty.
   */
  public static String escape(String name) {
    boolean plain = !name.isEmpty();
    for (int i = 0; plain && i < name.length(); i++) {
      plain = isPlain(name.charAt(i));
    }
    if (plain) {
      return name;
    }
    if (name.isEmpty()) {
      return "%";
    }
    StringBuilder text = new StringBuilder();
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      if (b > 0 && isPlain((char) b)) {
        text.append((char) b);
      } else {
        text.append('%').append(HEX[b >> 4 & 15]).append(HEX[b & 15]);
      }
    }
    return text.toString();
  }

  private static boolean isPlain(char c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '_'
        || c == '-';
  }
}
