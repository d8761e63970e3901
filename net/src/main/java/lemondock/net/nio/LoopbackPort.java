package lemondock.net.nio;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A port of the loopback interface, reserved for a program that gets its port in its configuration.
 *
 * <p>A port that is found free and closed again can be given to any other socket of the machine
 * before it is used. This class keeps a socket bound to the port until it is closed. The socket
 * never listens and allows its address to be reused. On Linux a listener that allows reuse too, as
 * Java's listeners do, can bind to the port at any time, in any process, also again after a
 * restart; but the system gives the port to nobody who asks for any free port, neither for
 * listening nor for an outgoing connection.
 *
 * <p>Instances may be used by several threads.
 */
public final class LoopbackPort implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";

  private final Socket holder;

  private LoopbackPort(Socket holder) {
    this.holder = holder;
  }

  /**
   * Reserves a port that nobody uses.
   *
   * @throws UncheckedIOException if there is none
   */
  public static LoopbackPort reserve() {
    Socket holder = new Socket();
    try {
      holder.setReuseAddress(true);
      holder.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0));
      return new LoopbackPort(holder);
    } catch (IOException e) {
      close(holder);
      throw new UncheckedIOException("no loopback port can be reserved", e);
    }
  }

  /** The number of the port. */
  public int number() {
    return holder.getLocalPort();
  }

  /** The address to listen at, and to connect to. */
  public InetSocketAddress address() {
    return new InetSocketAddress(LOOPBACK, number());
  }

  /** Gives the port back; whoever listens at it goes on. */
  @Override
  public void close() {
    close(holder);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("a reserved loopback port cannot be given back", e);
    }
  }
}
