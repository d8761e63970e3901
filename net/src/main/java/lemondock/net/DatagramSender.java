package lemondock.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * Sends datagrams to one peer. It receives none; the only feedback from the peer's host is that the
 * port is unreachable.
 */
public interface DatagramSender extends Closeable {
  /**
   * Sends one packet, whole or not at all, without blocking.
   *
   * @return false if the system's send buffer has no room for it at present
   * @throws IOException if the peer's host reported the port as unreachable, or there is no route
   *     to it; this packet or an earlier one is lost
   */
  boolean send(ByteBuffer packet) throws IOException;

  @Override
  void close();

  /** Opens senders. */
  interface Opener {
    /**
     * Opens a sender to an address.
     *
     * @throws IOException if there is no route to it
     */
    DatagramSender open(InetSocketAddress address) throws IOException;
  }
}
