package lemondock.net;

import java.net.InetSocketAddress;

/** Receives reports of failures that a network handles itself, for logs and counters. */
public interface NetworkListener {
  /** Ignores all reports. */
  NetworkListener NONE = new NetworkListener() {};

  /** A system call on the socket of a connection. */
  enum SocketCall {
    READ,
    WRITE
  }

  /**
   * A call has failed in a way that does not mean the end of its connection, and will be tried
   * again. Loop thread only.
   *
   * @param peer address of the connection's peer; null if it is unknown
   */
  default void callRetried(SocketCall call, InetSocketAddress peer, Throwable cause) {}

  /** No connection could be accepted; accepting is tried again. Loop thread only. */
  default void acceptFailed(Throwable cause) {}

  /**
   * A client's connection was closed unread, because the maximum number of connections is open.
   * Loop thread only.
   *
   * @param peer address of the client; null if it is unknown
   */
  default void connectionRefused(InetSocketAddress peer) {}

  /** A socket option could not be set; its connection is used without it. Loop thread only. */
  default void optionNotSet(InetSocketAddress peer, Throwable cause) {}

  /** An I/O thread has ended and was replaced. Loop thread only. */
  default void ioThreadReplaced(Throwable cause) {}
}
