package lemondock.cli;

import java.net.InetSocketAddress;

/** Formats server addresses for the output of commands. */
final class HttpUrl {
  private HttpUrl() {}

  /** Returns the URL of a server without a path, for example {@code http://127.0.0.1:8080}. */
  static String of(InetSocketAddress address) {
    return "http://" + hostAndPort(address);
  }

  /** Formats an address as {@code HOST:PORT}. */
  static String hostAndPort(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
