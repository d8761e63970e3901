package lemondock.benchmark;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficObserver;
import lemondock.exporter.host.ExporterRuntime;
import lemondock.exporter.host.ProcessMeterRegistry;
import lemondock.gateway.Gateway;
import lemondock.gateway.GatewayEnvironment;
import lemondock.gateway.JvmProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.reporting.Reporting;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.nio.WorkerPool;
import lemondock.scenario.EmulatedProcess;

/**
 * What the processes of a measurement do; each prints {@code ready PORT} and runs until it is
 * ended.
 */
final class BenchmarkProcesses {
  private BenchmarkProcesses() {}

  static void engine(int slots, double tokenMs) throws Exception {
    EmulatedProcess node = new EmulatedProcess("engine", 2);
    EngineSettings settings =
        new EngineSettings(
            "mixed",
            "127.0.0.1:0",
            "mixed",
            "mixed",
            "north",
            "r1",
            slots,
            slots,
            Long.MAX_VALUE / 4,
            1e9,
            1,
            1,
            tokenMs,
            1,
            0,
            null);
    EngineEmulator engine =
        node.invokeAndWait(
            () ->
                new EngineEmulator(node.loop(), node.network(), settings, 1, TrafficObserver.NONE));
    engine.start(node.network());
    System.out.println("ready " + engine.address().getPort());
    Thread.sleep(Long.MAX_VALUE);
  }

  static void gateway(Path file) throws Exception {
    GatewaySettings settings = SettingsFile.readGateway(file);
    EmulatedProcess node = new EmulatedProcess("gateway", settings.ioThreads());
    Gateway gateway =
        new Gateway(
            new GatewayEnvironment(
                node.loop(),
                node.network(),
                Runnable::run,
                WorkerPool.create(
                    settings.overload().heavyThreads(), settings.overload().heavyQueue(), "worker"),
                new JvmProcessResources(),
                null),
            settings,
            new PromptReader(settings.classes()),
            Gateway.DEFAULT_ROUTER_FACTORY);
    gateway.start();
    if (settings.reporting().tickMs() > 10) { // the shortest stands for no reports at all
      Reporting reporting =
          new Reporting(
              settings,
              gateway.metrics(),
              new ExporterRuntime("reports").environment(),
              ProcessMeterRegistry.create());
      reporting.start(gateway.address());
    }
    System.out.println("ready " + gateway.address().getPort());
    while (true) { // heap after a collection, for the measurement of open streams
      int read = System.in.read();
      if (read < 0) {
        return;
      }
      if (read == 'a') {
        System.out.println("allocated " + allocated());
        continue;
      }
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      System.out.println(
          "heap "
              + (runtime.totalMemory() - runtime.freeMemory()) / (1 << 20)
              + " sessions "
              + node.invokeAndWait(gateway::sessionCount)
              + " calls "
              + node.invokeAndWait(gateway::callsInFlight)
              + " allocated "
              + allocated());
    }
  }

  private static long allocated() {
    com.sun.management.ThreadMXBean threads =
        (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getThreadAllocatedBytes(threads.getAllThreadIds()))
        .filter(b -> b > 0)
        .sum();
  }

  private static EventLoopGroup loops(int threads) {
    return new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
  }

  /** A bare relay: bytes from one end to the other, nothing looked at. */
  static void relay(int target, int threads) throws Exception {
    EventLoopGroup group = loops(threads);
    Channel channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel near) {
                    near.pipeline().addLast(new Front(target));
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
    System.out.println("ready " + ((InetSocketAddress) channel.localAddress()).getPort());
    channel.closeFuture().sync();
  }

  private static class Copy extends ChannelInboundHandlerAdapter {
    protected Channel other;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      other
          .writeAndFlush(message)
          .addListener(
              (ChannelFutureListener)
                  done -> {
                    if (done.isSuccess()) {
                      context.channel().read();
                    } else {
                      context.close();
                    }
                  });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (other != null) {
        other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private static final class Front extends Copy {
    private final int target;

    Front(int target) {
      this.target = target;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      Copy back = new Copy();
      back.other = context.channel();
      new Bootstrap()
          .group(context.channel().eventLoop())
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.AUTO_READ, false)
          .handler(back)
          .connect("127.0.0.1", target)
          .addListener(
              (ChannelFutureListener)
                  made -> {
                    if (made.isSuccess()) {
                      other = made.channel();
                      other.read();
                      context.channel().read();
                    } else {
                      context.close();
                    }
                  });
    }
  }

  /**
   * Writes streams of the engines' form as fast as they are taken; {@code send N events} in the
   * prompt.
   */
  static void firehose(int threads) throws Exception {
    EventLoopGroup group = loops(threads);
    Channel channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel near) {
                    near.pipeline()
                        .addLast(
                            new HttpServerCodec(), new HttpObjectAggregator(1 << 20), new Hose());
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
    System.out.println("ready " + ((InetSocketAddress) channel.localAddress()).getPort());
    channel.closeFuture().sync();
  }

  private static final class Hose extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Pattern COUNT = Pattern.compile("send (\\d+) events");
    private static final byte[] EVENT =
        ("data:"
             + " {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
             + " word\"},\"finish_reason\":null}]}\n\n")
            .getBytes(StandardCharsets.UTF_8);
    private static final byte[] END =
        ("data:"
             + " {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
             + "data: [DONE]\n\n")
            .getBytes(StandardCharsets.UTF_8);
    private int left;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Matcher count = COUNT.matcher(request.content().toString(StandardCharsets.UTF_8));
      if (!count.find()) { // an abort
        HttpResponse none = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        none.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        context.write(none);
        context.writeAndFlush(DefaultLastHttpContent.EMPTY_LAST_CONTENT);
        return;
      }
      left = Integer.parseInt(count.group(1));
      HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
          .set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
      context.write(response);
      pour(context);
    }

    private void pour(ChannelHandlerContext context) {
      while (left > 0 && context.channel().isWritable()) {
        left--;
        context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(EVENT)));
        if (left % 4 == 0) {
          context.flush();
        }
      }
      if (left == 0) {
        left = -1;
        ByteBuf end = Unpooled.wrappedBuffer(END);
        context.write(new DefaultHttpContent(end));
        context.writeAndFlush(DefaultLastHttpContent.EMPTY_LAST_CONTENT);
      } else {
        context.flush();
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (context.channel().isWritable() && left > 0) {
        pour(context);
      }
    }
  }
}
