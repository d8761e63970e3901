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
 * Signs or encrypts packets of collectd's network protocol. A signed packet begins with a part of
 * type 0x0200, which holds the HMAC-SHA-256 over user name and parts, keyed with the password,
 * followed by the user name. An encrypted packet is one part of type 0x0210: the user name, an
 * initialisation vector, and the ciphertext of the SHA-1 of the parts followed by the parts
 * themselves. The cipher is AES-256 in OFB mode, keyed with the SHA-256 of the password.
 */
public final class PacketSecurity {
  private static final int SIGNATURE_PART = 0x0200;
  private static final int ENCRYPTION_PART = 0x0210;
  private static final int PART_HEADER_BYTES = 4;
  private static final int MAC_BYTES = 32;
  private static final int IV_BYTES = 16;
  private static final int SHA1_BYTES = 20;
  private static final String MAC_ALGORITHM = "HmacSHA256";

  private final SecurityLevel level;
  private final byte[] username;
  private final byte[] password;
  private final SecureRandom random = new SecureRandom();

  /** Creates the protection; {@link SecurityLevel#NONE} ignores user name and password. */
  public PacketSecurity(SecurityLevel level, String username, String password) {
    this.level = level;
    this.username = username.getBytes(StandardCharsets.UTF_8);
    this.password = password.getBytes(StandardCharsets.UTF_8);
  }

  /** Number of bytes that protection adds to the parts of a packet. */
  public int overheadBytes() {
    return switch (level) {
      case NONE -> 0;
      case SIGN -> PART_HEADER_BYTES + MAC_BYTES + username.length;
      case ENCRYPT -> PART_HEADER_BYTES + Short.BYTES + username.length + IV_BYTES + SHA1_BYTES;
    };
  }

  /** Signs or encrypts the given parts; returns the packet to send. */
  public ByteBuffer protect(byte[] parts) {
    ByteBuffer packet = ByteBuffer.allocate(overheadBytes() + parts.length);
    try {
      switch (level) {
        case NONE -> packet.put(parts);
        case SIGN -> putSigned(parts, packet);
        case ENCRYPT -> putEncrypted(parts, packet);
        default -> throw new IllegalStateException("unknown security level " + level);
      }
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(
          "an algorithm for security level " + level + " is missing", e);
    }
    return packet.flip();
  }

  private void putSigned(byte[] parts, ByteBuffer packet) throws GeneralSecurityException {
    Mac mac = Mac.getInstance(MAC_ALGORITHM);
    mac.init(new SecretKeySpec(password, MAC_ALGORITHM));
    mac.update(username);
    packet
        .putShort((short) SIGNATURE_PART)
        .putShort((short) overheadBytes())
        .put(mac.doFinal(parts))
        .put(username)
        .put(parts);
  }

  private void putEncrypted(byte[] parts, ByteBuffer packet) throws GeneralSecurityException {
    byte[] initialisationVector = new byte[IV_BYTES];
    random.nextBytes(initialisationVector);
    byte[] key = MessageDigest.getInstance("SHA-256").digest(password);
    Cipher cipher = Cipher.getInstance("AES/OFB/NoPadding");
    cipher.init(
        Cipher.ENCRYPT_MODE,
        new SecretKeySpec(key, "AES"),
        new IvParameterSpec(initialisationVector));
    packet
        .putShort((short) ENCRYPTION_PART)
        .putShort((short) packet.capacity())
        .putShort((short) username.length)
        .put(username)
        .put(initialisationVector);
    packet.put(cipher.update(MessageDigest.getInstance("SHA-1").digest(parts)));
    packet.put(cipher.doFinal(parts));
  }
}
