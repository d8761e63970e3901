package lemondock.emulator.collect;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Emulates collectd's network plugin: parses its binary protocol, verifies signatures and decrypts.
 * If users are configured, it accepts only signed or encrypted packets. It can drop and reorder
 * packets at random, from a seed. Its public methods may be called by any thread.
 */
public final class CollectdListener implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024 * 1024;
  private static final int MAX_PACKET_BYTES = 65_535;
  private static final int MAX_HELD_BACK = 8;

  private final DatagramSocket socket;
  private final ReceivedReports received = new ReceivedReports();
  private final List<String> notifications = Collections.synchronizedList(new ArrayList<>());
  private final CollectdPacketReader reader;

  // Used by the receiving thread only.
  private final SplittableRandom random;
  private final List<byte[]> heldBack = new ArrayList<>();

  private volatile double lossShare;
  private volatile double reorderShare;

  // Written by the receiving thread only.
  private volatile int largestPacketBytes;
  private volatile long packets;

  /**
   * Listens on a port of the loopback interface; 0 chooses a free one.
   *
   * @param users passwords by user name; if empty, plain packets are accepted too
   * @param seed seed of the random choice of packets that are dropped or reordered
   */
  public CollectdListener(int port, Map<String, String> users, long seed) throws IOException {
    this.random = new SplittableRandom(seed);
    this.reader = new CollectdPacketReader(users, received::add, notifications::add);
    this.socket = new DatagramSocket(null);
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    DaemonThreads.start("collectd", this::receive);
  }

  /** The port that it listens on. */
  public int port() {
    return socket.getLocalPort();
  }

  /** The values received, by {@code HOST/PLUGIN-INSTANCE/TYPE-INSTANCE}. */
  public ReceivedReports received() {
    return received;
  }

  /** The messages of the notifications received, oldest first. */
  public List<String> notifications() {
    synchronized (notifications) {
      return List.copyOf(notifications);
    }
  }

  /** The size of the largest packet received. */
  public int largestPacketBytes() {
    return largestPacketBytes;
  }

  /** The number of packets that arrived, including those dropped on purpose. */
  public long packets() {
    return packets;
  }

  /** Sets the shares of packets, 0 to 1, that are dropped and reordered from now on. */
  public void setPacketFaults(double newLossShare, double newReorderShare) {
    lossShare = newLossShare;
    reorderShare = newReorderShare;
  }

  private void receive() {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_PACKET_BYTES], MAX_PACKET_BYTES);
    while (true) {
      try {
        packet.setLength(MAX_PACKET_BYTES);
        socket.receive(packet);
      } catch (IOException e) {
        return; // the socket was closed
      }
      largestPacketBytes = Math.max(largestPacketBytes, packet.getLength());
      packets++;
      onPacket(Arrays.copyOf(packet.getData(), packet.getLength()));
    }
  }

  private void onPacket(byte[] bytes) {
    if (random.nextDouble() < lossShare) {
      return;
    }
    byte[] next = bytes;
    if (random.nextDouble() < reorderShare) {
      heldBack.add(bytes);
      if (heldBack.size() < MAX_HELD_BACK) {
        return;
      }
      next = heldBack.remove(random.nextInt(heldBack.size()));
    }
    try {
      reader.read(next);
    } catch (RuntimeException | GeneralSecurityException e) {
      received.addUnreadable();
    }
  }

  @Override
  public void close() {
    socket.close();
  }
}
