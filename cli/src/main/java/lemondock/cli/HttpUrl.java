package lemondock.cli;

import java.net.InetSocketAddress;

/** URLs of servers as commands print them. */
final class HttpUrl {
  private HttpUrl() {}

  /** The URL of a server without a path, as {@code http://127.0.0.1:8080}. */
  static String of(InetSocketAddress address) {
    return "http://" + hostAndPort(address);
  }

  /** An address as {@code HOST:PORT}. */
  static String hostAndPort(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
