package lemondock.emulator.collect;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import javax.crypto.Cipher;
import javax.crypto.Mac;
import javax.crypto.spec.IvParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/** Parses packets of collectd's network protocol. Not thread-safe. */
final class CollectdPacketReader {
  private static final int PART_HOST = 0x0000;
  private static final int PART_TIME_SECONDS = 0x0001;
  private static final int PART_PLUGIN = 0x0002;
  private static final int PART_PLUGIN_INSTANCE = 0x0003;
  private static final int PART_TYPE = 0x0004;
  private static final int PART_TYPE_INSTANCE = 0x0005;
  private static final int PART_VALUES = 0x0006;
  private static final int PART_TIME_HIGH_RESOLUTION = 0x0008;
  private static final int PART_MESSAGE = 0x0100;
  private static final int PART_SIGNATURE = 0x0200;
  private static final int PART_ENCRYPTED = 0x0210;
  private static final int PART_HEADER_BYTES = 4;

  private static final int VALUE_GAUGE = 1;
  private static final int VALUE_DERIVE = 2;

  private static final String MAC_ALGORITHM = "HmacSHA256";
  private static final int MAC_BYTES = 32;
  private static final int IV_BYTES = 16;
  private static final int CHECKSUM_BYTES = 20;

  /** High-resolution times are in units of 2^-30 seconds. */
  private static final int TIME_FRACTION_BITS = 30;

  private final Map<String, String> users;
  private final ValuesReceiver values;
  private final Consumer<String> notifications;

  /** Receives the values of a name, with their time in milliseconds since the epoch. */
  interface ValuesReceiver {
    void onValues(String name, long timestampMs, List<BigDecimal> values);
  }

  /** The parts of a packet that apply to all values after them. */
  private static final class Header {
    private String host = "";
    private String plugin = "";
    private String pluginInstance = "";
    private String type = "";
    private String typeInstance = "";
    private long timestampMs;

    String name() {
      return host
          + "/"
          + plugin
          + (pluginInstance.isEmpty() ? "" : "-" + pluginInstance)
          + "/"
          + type
          + (typeInstance.isEmpty() ? "" : "-" + typeInstance);
    }
  }

  /**
   * Creates a reader.
   *
   * @param users passwords by user name; if empty, plain packets are accepted too
   */
  CollectdPacketReader(
      Map<String, String> users, ValuesReceiver values, Consumer<String> notifications) {
    this.users = users;
    this.values = values;
    this.notifications = notifications;
  }

  /**
   * Reads a packet.
   *
   * @throws RuntimeException if the packet is malformed, or if users are configured and the packet
   *     is neither signed nor encrypted by one of them
   */
  void read(byte[] packet) throws GeneralSecurityException {
    readParts(ByteBuffer.wrap(packet), users.isEmpty());
  }

  private void readParts(ByteBuffer in, boolean isInitiallyTrusted)
      throws GeneralSecurityException {
    Header header = new Header();
    boolean isTrusted = isInitiallyTrusted;
    while (in.remaining() >= PART_HEADER_BYTES) {
      int start = in.position();
      int type = in.getShort() & 0xFFFF;
      int length = in.getShort() & 0xFFFF;
      if (length < PART_HEADER_BYTES || start + length > in.limit()) {
        throw new IllegalArgumentException(
            "part length " + length + " is shorter than the part header or exceeds the packet");
      }
      ByteBuffer part = in.slice(in.position(), length - PART_HEADER_BYTES);
      in.position(start + length);
      if (type == PART_SIGNATURE) {
        isTrusted = isValidSignature(part, in.duplicate());
      } else if (type == PART_ENCRYPTED) {
        readParts(decrypt(part), true);
        return;
      } else if (!isTrusted) {
        throw new IllegalArgumentException(
            "the packet is not encrypted and has no valid signature, but users are configured");
      } else {
        readPart(type, part, header);
      }
    }
  }

  private void readPart(int type, ByteBuffer part, Header header) {
    switch (type) {
      case PART_HOST -> header.host = readTerminatedText(part);
      case PART_PLUGIN -> header.plugin = readTerminatedText(part);
      case PART_PLUGIN_INSTANCE -> header.pluginInstance = readTerminatedText(part);
      case PART_TYPE -> header.type = readTerminatedText(part);
      case PART_TYPE_INSTANCE -> header.typeInstance = readTerminatedText(part);
      case PART_TIME_SECONDS -> header.timestampMs = part.getLong() * 1000;
      case PART_TIME_HIGH_RESOLUTION -> header.timestampMs = toMillis(part.getLong());
      case PART_VALUES -> values.onValues(header.name(), header.timestampMs, readValues(part));
      case PART_MESSAGE -> notifications.accept(readTerminatedText(part));
      default -> {
        // interval, severity and other parts are ignored
      }
    }
  }

  /** Converts a high-resolution time to milliseconds, rounded to the nearest. */
  private static long toMillis(long highResolutionTime) {
    return BigInteger.valueOf(highResolutionTime)
        .multiply(BigInteger.valueOf(1000))
        .add(BigInteger.ONE.shiftLeft(TIME_FRACTION_BITS - 1))
        .shiftRight(TIME_FRACTION_BITS)
        .longValue();
  }

  private static List<BigDecimal> readValues(ByteBuffer part) {
    byte[] types = new byte[part.getShort()];
    part.get(types);
    List<BigDecimal> values = new ArrayList<>();
    for (byte type : types) {
      if (type == VALUE_GAUGE) {
        double gauge = part.order(ByteOrder.LITTLE_ENDIAN).getDouble();
        values.add(Double.isNaN(gauge) ? null : BigDecimal.valueOf(gauge));
      } else {
        long bits = part.order(ByteOrder.BIG_ENDIAN).getLong();
        boolean isSigned = type == VALUE_DERIVE;
        values.add(
            isSigned ? BigDecimal.valueOf(bits) : new BigDecimal(Long.toUnsignedString(bits)));
      }
    }
    return values;
  }

  private static String readTerminatedText(ByteBuffer part) {
    return readText(part, part.remaining() - 1);
  }

  private static String readText(ByteBuffer part, int length) {
    return new String(readBytes(part, length), StandardCharsets.UTF_8);
  }

  private static byte[] readBytes(ByteBuffer part, int length) {
    byte[] bytes = new byte[length];
    part.get(bytes);
    return bytes;
  }

  private byte[] password(String user) {
    return users.get(user).getBytes(StandardCharsets.UTF_8);
  }

  private boolean isValidSignature(ByteBuffer signature, ByteBuffer signedParts)
      throws GeneralSecurityException {
    final byte[] receivedMac = readBytes(signature, MAC_BYTES);
    String user = readText(signature, signature.remaining());
    Mac mac = Mac.getInstance(MAC_ALGORITHM);
    mac.init(new SecretKeySpec(password(user), MAC_ALGORITHM));
    mac.update(user.getBytes(StandardCharsets.UTF_8));
    mac.update(signedParts);
    return Arrays.equals(receivedMac, mac.doFinal());
  }

  private ByteBuffer decrypt(ByteBuffer part) throws GeneralSecurityException {
    String user = readText(part, part.getShort());
    byte[] iv = readBytes(part, IV_BYTES);
    byte[] encrypted = readBytes(part, part.remaining());
    byte[] key = MessageDigest.getInstance("SHA-256").digest(password(user));
    Cipher cipher = Cipher.getInstance("AES/OFB/NoPadding");
    cipher.init(Cipher.DECRYPT_MODE, new SecretKeySpec(key, "AES"), new IvParameterSpec(iv));
    byte[] plain = cipher.doFinal(encrypted);
    byte[] checksum = Arrays.copyOf(plain, CHECKSUM_BYTES);
    byte[] parts = Arrays.copyOfRange(plain, CHECKSUM_BYTES, plain.length);
    if (!Arrays.equals(checksum, MessageDigest.getInstance("SHA-1").digest(parts))) {
      throw new IllegalArgumentException(
          "the SHA-1 checksum of the decrypted packet does not match");
    }
    return ByteBuffer.wrap(parts);
  }
}
