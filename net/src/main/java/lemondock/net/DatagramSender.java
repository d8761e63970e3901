package lemondock.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** Sends datagrams to one peer and hears nothing from it but that nobody listens. */
public interface DatagramSender extends Closeable {
  /**
   * Sends one packet, whole or not at all, without waiting.
   *
   * @return false if the system has no room for it now
   * @throws IOException if the peer's machine said that nobody listens, or there is no way to it;
   *     the packet, or one sent before it, is lost
   */
  boolean send(ByteBuffer packet) throws IOException;

  @Override
  void close();

  /** Makes senders. */
  interface Opener {
    /**
     * Makes a sender to an address.
     *
     * @throws IOException if there is no way to it
     */
    DatagramSender open(InetSocketAddress to) throws IOException;
  }
}
