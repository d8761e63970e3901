package lemondock.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Hashes the names of servers, sessions and prompt prefixes. All gateways, and a gateway before and
 * after a restart, must compute the same hash.
 */
public final class StableHash {
  private StableHash() {}

  /** A positive 63-bit hash of the text, never 0; collisions are negligible. */
  public static long of(String text) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return Math.max(1, ByteBuffer.wrap(digest).getLong() & Long.MAX_VALUE);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, though every Java platform must provide it", e);
    }
  }
}
