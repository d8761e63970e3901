package lemondock.benchmark;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Runs a Netty server in a child process of a benchmark. */
final class NettyServer {
  private NettyServer() {}

  /**
   * Listens on a free loopback port, prints {@code ready PORT} and serves until the process ends.
   *
   * @param threads number of event-loop threads
   * @param autoRead whether channels read automatically; otherwise handlers must request each read
   * @param initializer adds the handlers to the pipeline of a new connection
   */
  static void run(int threads, boolean autoRead, Consumer<SocketChannel> initializer)
      throws InterruptedException {
    Channel channel =
        new ServerBootstrap()
            .group(new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()))
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, autoRead)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel connection) {
                    initializer.accept(connection);
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
    System.out.println("ready " + ((InetSocketAddress) channel.localAddress()).getPort());
    channel.closeFuture().sync();
  }
}
