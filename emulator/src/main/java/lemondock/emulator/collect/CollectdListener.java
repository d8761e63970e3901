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
 * Emulates collectd's network plugin: reads its binary protocol, checks signatures, decrypts, and
 * takes only signed or encrypted packets if it has users. It can lose and reorder packets, drawn
 * from a seed. Its public methods may be called by any thread.
 */
public final class CollectdListener implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024 * 1024;
  private static final int MAX_PACKET_BYTES = 65_535;
  private static final int MAX_HELD_BACK = 8;

  private final DatagramSocket socket;
  private final ReceivedReports received = new ReceivedReports();
  private final List<String> notifications = Collections.synchronizedList(new ArrayList<>());
  private final CollectdPacketReader reader;

  // The receiving thread only.
  private final SplittableRandom random;
  private final List<byte[]> heldBack = new ArrayList<>();

  private volatile double lossShare;
  private volatile double reorderShare;

  // Written by the receiving thread.
  private volatile int largestPacketBytes;
  private volatile long packets;

  /**
   * Listens on a port of the loopback interface, 0 for a free one.
   *
   * @param users passwords by name; without users it takes plain packets too
   * @param seed draws which packets are lost or reordered
   */
  public CollectdListener(int port, Map<String, String> users, long seed) throws IOException {
    this.random = new SplittableRandom(seed);
    this.reader = new CollectdPacketReader(users, received::add, notifications::add);
    this.socket = new DatagramSocket(null);
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    DaemonThreads.start("collectd", this::receive);
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
  public List<String> notifications() {
    synchronized (notifications) {
      return List.copyOf(notifications);
    }
  }

  /** The largest packet received, in bytes. */
  public int largestPacketBytes() {
    return largestPacketBytes;
  }

  /** Packets that arrived, lost ones too. */
  public long packets() {
    return packets;
  }

  /** Loses and reorders such shares of the packets from now on. */
  public void disturb(double newLossShare, double newReorderShare) {
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
        return; // closed
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
