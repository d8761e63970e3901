package lemondock.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One listening address of a {@link FaultProxy}, whose connections go to one upstream address. Any
 * thread may change its faults; its connections belong to the proxy's thread.
 */
final class ProxyLink {
  private static final int BACKLOG = 256;

  private final FaultProxy proxy;
  private final ServerSocketChannel serverChannel;

  /** Changed by the proxy's thread only; also read when the proxy is closed. */
  private final List<ProxyConnection> connections = new CopyOnWriteArrayList<>();

  private final DisturbanceLog disturbances = new DisturbanceLog();
  private volatile InetSocketAddress upstream;
  private volatile LinkFlow flowToServer = LinkFlow.PASS;
  private volatile LinkFlow flowToClient = LinkFlow.PASS;
  private volatile LinkAdmission admission = LinkAdmission.ACCEPT;
  private volatile long delayMicros;

  /** Listens on a free port on loopback; the proxy must register the channel to serve it. */
  ProxyLink(FaultProxy proxy, InetSocketAddress upstream) throws IOException {
    this.proxy = proxy;
    this.upstream = upstream;
    this.serverChannel = ServerSocketChannel.open();
    serverChannel.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
    serverChannel.configureBlocking(false);
  }

  /** The address to which clients connect, as {@code HOST:PORT}. */
  String address() throws IOException {
    InetSocketAddress address = (InetSocketAddress) serverChannel.getLocalAddress();
    return address.getHostString() + ":" + address.getPort();
  }

  /** Sets the upstream address of new connections. */
  void setUpstream(InetSocketAddress newUpstream) {
    upstream = newUpstream;
  }

  /** Injects a fault: how the link treats bytes in each direction, and new connections. */
  void setFault(LinkFlow newFlowToServer, LinkFlow newFlowToClient, LinkAdmission newAdmission) {
    flowToServer = newFlowToServer;
    flowToClient = newFlowToClient;
    admission = newAdmission;
    disturbances.begin();
    proxy.wakeUp();
  }

  /** Injects a fault: delays all bytes by the given time. */
  void setDelayMicros(long newDelayMicros) {
    delayMicros = newDelayMicros;
    disturbances.begin();
  }

  /** Ends all faults and delivers the held bytes. */
  void heal() {
    flowToServer = LinkFlow.PASS;
    flowToClient = LinkFlow.PASS;
    admission = LinkAdmission.ACCEPT;
    delayMicros = 0;
    disturbances.endAll();
    proxy.wakeUp();
  }

  /** Resets every open connection; held bytes are lost. */
  void reset() {
    disturbances.addMomentary();
    proxy.execute(this::resetConnections);
  }

  /** Whether no fault of this link was active at any time in that period. */
  boolean isHealthyBetween(long fromMicros, long untilMicros) {
    return disturbances.noneBetween(fromMicros, untilMicros);
  }

  // ==== used by the proxy and its connections

  SelectableChannel serverChannel() {
    return serverChannel;
  }

  /** Accepts the next waiting connection; empty if none waits. */
  Optional<SocketChannel> acceptNext() throws IOException {
    return Optional.ofNullable(serverChannel.accept());
  }

  void addConnection(ProxyConnection connection) {
    connections.add(connection);
  }

  void removeConnection(ProxyConnection connection) {
    connections.remove(connection);
  }

  void resetConnections() {
    List.copyOf(connections).forEach(ProxyConnection::reset);
  }

  InetSocketAddress upstream() {
    return upstream;
  }

  LinkFlow flowToServer() {
    return flowToServer;
  }

  LinkFlow flowToClient() {
    return flowToClient;
  }

  LinkAdmission admission() {
    return admission;
  }

  long delayMicros() {
    return delayMicros;
  }
}
