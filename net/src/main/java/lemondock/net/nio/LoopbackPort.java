package lemondock.net.nio;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A reserved port of the loopback interface, for a program that is given its port in its
 * configuration.
 *
 * <p>If a free port is found by binding and then closing a socket, the system may assign it to any
 * other socket on the machine before it is used. This class therefore keeps a socket bound to the
 * port until {@link #close}. The socket never listens and allows its address to be reused. On Linux
 * a listener that also allows reuse, as Java's listeners do, can bind to the port at any time, in
 * any process, and again after a restart. The system does not assign the port to sockets that
 * request any free port, neither for listening nor for an outgoing connection.
 *
 * <p>Instances are safe for use by several threads.
 */
public final class LoopbackPort implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";

  private final Socket reservation;

  private LoopbackPort(Socket reservation) {
    this.reservation = reservation;
  }

  /**
   * Reserves an unused port.
   *
   * @throws UncheckedIOException if no port can be reserved
   */
  public static LoopbackPort reserve() {
    Socket reservation = new Socket();
    try {
      reservation.setReuseAddress(true);
      reservation.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0));
      return new LoopbackPort(reservation);
    } catch (IOException e) {
      close(reservation);
      throw new UncheckedIOException("cannot reserve a loopback port on " + LOOPBACK, e);
    }
  }

  /** The port number. */
  public int number() {
    return reservation.getLocalPort();
  }

  /** The address to listen on and to connect to. */
  public InetSocketAddress address() {
    return new InetSocketAddress(LOOPBACK, number());
  }

  /** Releases the port; a listener already bound to it is not affected. */
  @Override
  public void close() {
    close(reservation);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot release the reserved loopback port", e);
    }
  }
}
