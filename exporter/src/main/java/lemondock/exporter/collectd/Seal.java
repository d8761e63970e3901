package lemondock.exporter.collectd;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Cipher;
import javax.crypto.Mac;
import javax.crypto.spec.IvParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/**
 * The signed and encrypted forms of collectd's network protocol. Signed: a part 0x0200 with the
 * HMAC-SHA-256 over user and parts, keyed with the password. Encrypted: a part 0x0210 with the
 * user, an initialisation vector, and in AES-256 (OFB, keyed with the password's SHA-256) the SHA-1
 * of the parts and the parts.
 */
public final class Seal {
  private static final int SIGNATURE = 0x0200;
  private static final int ENCRYPTION = 0x0210;
  private static final int PART_HEAD = 4;
  private static final int MAC = 32;
  private static final int IV = 16;
  private static final int SHA1 = 20;

  private final Level level;
  private final byte[] user;
  private final byte[] password;
  private final SecureRandom random = new SecureRandom();

  /** How packets are protected. */
  public enum Level {
    NONE,
    SIGN,
    ENCRYPT
  }

  /** Makes a seal; user and password are not used with {@link Level#NONE}. */
  public Seal(Level level, String user, String password) {
    this.level = level;
    this.user = user.getBytes(StandardCharsets.UTF_8);
    this.password = password.getBytes(StandardCharsets.UTF_8);
  }

  /** Bytes that sealing adds to a packet. */
  public int overhead() {
    return switch (level) {
      case NONE -> 0;
      case SIGN -> PART_HEAD + MAC + user.length;
      case ENCRYPT -> PART_HEAD + 2 + user.length + IV + SHA1;
    };
  }

  /** The packet as it is sent. */
  public ByteBuffer seal(byte[] parts) {
    ByteBuffer packet = ByteBuffer.allocate(overhead() + parts.length);
    try {
      if (level == Level.SIGN) {
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(password, "HmacSHA256"));
        mac.update(user);
        packet
            .putShort((short) SIGNATURE)
            .putShort((short) overhead())
            .put(mac.doFinal(parts))
            .put(user)
            .put(parts);
      } else if (level == Level.ENCRYPT) {
        byte[] iv = new byte[IV];
        random.nextBytes(iv);
        Cipher cipher = Cipher.getInstance("AES/OFB/NoPadding");
        cipher.init(
            Cipher.ENCRYPT_MODE,
            new SecretKeySpec(MessageDigest.getInstance("SHA-256").digest(password), "AES"),
            new IvParameterSpec(iv));
        packet
            .putShort((short) ENCRYPTION)
            .putShort((short) packet.capacity())
            .putShort((short) user.length)
            .put(user)
            .put(iv);
        packet.put(cipher.update(MessageDigest.getInstance("SHA-1").digest(parts)));
        packet.put(cipher.doFinal(parts));
      } else {
        packet.put(parts);
      }
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java has these algorithms", e);
    }
    return packet.flip();
  }
}
