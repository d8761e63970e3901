package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import lemondock.net.DatagramSender;

/**
 * Sends datagrams over UDP. The channel is connected, so that an ICMP "port unreachable" from the
 * peer is reported.
 */
public final class UdpDatagramSender implements DatagramSender {
  private final DatagramChannel channel;

  private UdpDatagramSender(DatagramChannel channel) {
    this.channel = channel;
  }

  /**
   * Opens a sender to an address.
   *
   * @throws IOException if there is no route to it, or no socket can be opened
   */
  public static UdpDatagramSender open(InetSocketAddress address) throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    try {
      channel.configureBlocking(false);
      channel.connect(address);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
    return new UdpDatagramSender(channel);
  }

  @Override
  public boolean send(ByteBuffer packet) throws IOException {
    return !packet.hasRemaining() || channel.write(packet) > 0;
  }

  @Override
  public void close() {
    ChannelSupport.closeQuietly(channel);
  }
}
