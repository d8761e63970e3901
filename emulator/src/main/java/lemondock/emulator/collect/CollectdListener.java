package lemondock.emulator.collect;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import javax.crypto.Cipher;
import javax.crypto.Mac;
import javax.crypto.spec.IvParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/**
 * A stand-in for collectd's network plugin: reads its binary protocol, checks signatures, decrypts,
 * and takes nothing unsealed if it has users. It can lose and reorder packets, drawn from a seed.
 */
public final class CollectdListener implements AutoCloseable {
  private static final int BUFFER = 8 * 1024 * 1024;
  private static final int MOST_PACKET = 65_535;

  private final DatagramSocket socket;
  private final Map<String, String> users;
  private final ReceivedReports received = new ReceivedReports();
  private final List<String> notices = Collections.synchronizedList(new ArrayList<>());
  private final SplittableRandom random;
  private volatile double loss;
  private volatile double reorder;
  private volatile int largest;
  private volatile long packets;

  /**
   * Listens on a port of the loopback interface, 0 for a free one; with users only sealed packets
   * are taken.
   */
  public CollectdListener(int port, Map<String, String> users, long seed) throws IOException {
    this.users = users;
    this.random = new SplittableRandom(seed);
    this.socket = new DatagramSocket(null);
    socket.setReceiveBufferSize(BUFFER);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    GraphiteListener.start("collectd", this::receive);
  }

  /** The port taken. */
  public int port() {
    return socket.getLocalPort();
  }

  /** What was received, by {@code HOST/PLUGIN-INSTANCE/TYPE-INSTANCE}. */
  public ReceivedReports received() {
    return received;
  }

  /** Messages of notifications. */
  public List<String> notices() {
    synchronized (notices) {
      return List.copyOf(notices);
    }
  }

  /** The largest packet seen (bytes). */
  public int largest() {
    return largest;
  }

  /** Packets that came, lost ones too. */
  public long packets() {
    return packets;
  }

  /** Loses and holds back such shares of the packets from now on. */
  public void disturb(double lost, double heldBack) {
    loss = lost;
    reorder = heldBack;
  }

  private void receive() {
    List<byte[]> held = new ArrayList<>();
    DatagramPacket packet = new DatagramPacket(new byte[MOST_PACKET], MOST_PACKET);
    while (true) {
      try {
        packet.setLength(MOST_PACKET);
        socket.receive(packet);
      } catch (IOException e) {
        return; // closed
      }
      largest = Math.max(largest, packet.getLength());
      packets++;
      byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
      if (random.nextDouble() < loss) {
        continue;
      }
      if (random.nextDouble() < reorder) {
        held.add(bytes);
        if (held.size() < 8) {
          continue;
        }
        bytes = held.remove(random.nextInt(held.size()));
      }
      try {
        parts(ByteBuffer.wrap(bytes), users.isEmpty(), new Values());
      } catch (RuntimeException | GeneralSecurityException e) {
        received.bad();
      }
    }
  }

  /** Parts that hold for the values that follow. */
  private static final class Values {
    private String host = "";
    private String plugin = "";
    private String pluginInstance = "";
    private String type = "";
    private String typeInstance = "";
    private long stamp;

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

  private void parts(ByteBuffer in, boolean trusted, Values v) throws GeneralSecurityException {
    boolean good = trusted;
    while (in.remaining() >= 4) {
      int start = in.position();
      int type = in.getShort() & 0xFFFF;
      int length = in.getShort() & 0xFFFF;
      if (length < 4 || start + length > in.limit()) {
        throw new IllegalArgumentException("part of " + length + " bytes");
      }
      ByteBuffer part = in.slice(in.position(), length - 4);
      in.position(start + length);
      if (type == 0x0200) {
        byte[] mac = new byte[32];
        part.get(mac);
        String user = text(part, part.remaining());
        good = Arrays.equals(mac, mac(user, in.duplicate()));
      } else if (type == 0x0210) {
        decrypt(part);
        return;
      } else if (!good) {
        throw new IllegalArgumentException("not sealed, or not by a known user");
      } else {
        part(type, part, v);
      }
    }
  }

  private void part(int type, ByteBuffer part, Values v) {
    switch (type) {
      case 0x0000 -> v.host = text(part, part.remaining() - 1);
      case 0x0002 -> v.plugin = text(part, part.remaining() - 1);
      case 0x0003 -> v.pluginInstance = text(part, part.remaining() - 1);
      case 0x0004 -> v.type = text(part, part.remaining() - 1);
      case 0x0005 -> v.typeInstance = text(part, part.remaining() - 1);
      case 0x0001 -> v.stamp = part.getLong() * 1000;
      case 0x0008 ->
          v.stamp =
              BigInteger.valueOf(part.getLong())
                  .multiply(BigInteger.valueOf(1000))
                  .add(BigInteger.ONE.shiftLeft(29))
                  .shiftRight(30)
                  .longValue();
      case 0x0006 -> received.take(v.name(), v.stamp, values(part));
      case 0x0100 -> notices.add(text(part, part.remaining() - 1));
      default -> {} // interval, severity, and whatever else there may be
    }
  }

  private static List<BigDecimal> values(ByteBuffer part) {
    int count = part.getShort();
    byte[] types = new byte[count];
    part.get(types);
    List<BigDecimal> values = new ArrayList<>();
    for (byte type : types) {
      if (type == 1) {
        double gauge = part.order(ByteOrder.LITTLE_ENDIAN).getDouble();
        values.add(Double.isNaN(gauge) ? null : BigDecimal.valueOf(gauge));
      } else {
        long bits = part.order(ByteOrder.BIG_ENDIAN).getLong();
        values.add(
            type == 2 ? BigDecimal.valueOf(bits) : new BigDecimal(Long.toUnsignedString(bits)));
      }
    }
    return values;
  }

  private static String text(ByteBuffer part, int length) {
    byte[] bytes = new byte[length];
    part.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private byte[] mac(String user, ByteBuffer rest) throws GeneralSecurityException {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(users.get(user).getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
    mac.update(user.getBytes(StandardCharsets.UTF_8));
    mac.update(rest);
    return mac.doFinal();
  }

  private void decrypt(ByteBuffer part) throws GeneralSecurityException {
    String user = text(part, part.getShort());
    byte[] iv = new byte[16];
    part.get(iv);
    byte[] sealed = new byte[part.remaining()];
    part.get(sealed);
    Cipher cipher = Cipher.getInstance("AES/OFB/NoPadding");
    cipher.init(
        Cipher.DECRYPT_MODE,
        new SecretKeySpec(
            MessageDigest.getInstance("SHA-256")
                .digest(users.get(user).getBytes(StandardCharsets.UTF_8)),
            "AES"),
        new IvParameterSpec(iv));
    byte[] open = cipher.doFinal(sealed);
    byte[] parts = Arrays.copyOfRange(open, 20, open.length);
    if (!Arrays.equals(Arrays.copyOf(open, 20), MessageDigest.getInstance("SHA-1").digest(parts))) {
      throw new IllegalArgumentException("wrong checksum");
    }
    parts(ByteBuffer.wrap(parts), true, new Values());
  }

  @Override
  public void close() {
    socket.close();
  }
}
