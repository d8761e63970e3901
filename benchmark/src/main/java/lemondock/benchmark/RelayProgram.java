package lemondock.benchmark;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;

/**
 * A plain byte relay on Netty, the baseline of the gateway: it copies bytes in both directions
 * without parsing them. Arguments: TARGET_PORT THREADS.
 */
final class RelayProgram implements ChildProgram {
  @Override
  public void run(List<String> arguments) throws Exception {
    int targetPort = Integer.parseInt(arguments.get(0));
    int threads = Integer.parseInt(arguments.get(1));
    NettyServer.run(
        threads,
        false,
        connection -> connection.pipeline().addLast(new AcceptedSideHandler(targetPort)));
  }

  /** Writes received bytes to the peer, and resumes reading once they are written. */
  private static class CopyHandler extends ChannelInboundHandlerAdapter {
    /** The other side of the relay; null until it is connected. */
    protected Channel peer;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      peer.writeAndFlush(message)
          .addListener(
              (ChannelFutureListener)
                  written -> {
                    if (written.isSuccess()) {
                      context.channel().read();
                    } else {
                      context.close();
                    }
                  });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (peer != null) {
        peer.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Handles an accepted connection; connects to the target before it reads anything. */
  private static final class AcceptedSideHandler extends CopyHandler {
    private final int targetPort;

    AcceptedSideHandler(int targetPort) {
      this.targetPort = targetPort;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      CopyHandler targetSide = new CopyHandler();
      targetSide.peer = context.channel();
      new Bootstrap()
          .group(context.channel().eventLoop())
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.AUTO_READ, false)
          .handler(targetSide)
          .connect("127.0.0.1", targetPort)
          .addListener(
              (ChannelFutureListener)
                  connected -> {
                    if (connected.isSuccess()) {
                      peer = connected.channel();
                      peer.read();
                      context.channel().read();
                    } else {
                      context.close();
                    }
                  });
    }
  }
}
