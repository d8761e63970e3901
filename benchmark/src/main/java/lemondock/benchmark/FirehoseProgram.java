package lemondock.benchmark;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Writes streams in the engines' response format as fast as the client reads them. The prompt sets
 * the number of events: {@code send N events}. Argument: {@code THREADS}.
 */
final class FirehoseProgram implements ChildProgram {
  private static final int MAX_REQUEST_BYTES = 1 << 20;

  @Override
  public void run(List<String> arguments) throws Exception {
    NettyServer.run(
        Integer.parseInt(arguments.get(0)),
        true,
        connection ->
            connection
                .pipeline()
                .addLast(
                    new HttpServerCodec(),
                    new HttpObjectAggregator(MAX_REQUEST_BYTES),
                    new StreamHandler()));
  }

  private static final class StreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Pattern EVENT_COUNT = Pattern.compile("send (\\d+) events");
    private static final int EVENTS_PER_FLUSH = 4;
    private static final int NO_STREAM = -1;
    private static final byte[] EVENT =
        ("data:"
             + " {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
             + " word\"},\"finish_reason\":null}]}\n\n")
            .getBytes(StandardCharsets.UTF_8);
    private static final byte[] LAST_EVENTS =
        ("data:"
             + " {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
             + "data: [DONE]\n\n")
            .getBytes(StandardCharsets.UTF_8);

    private int remainingEvents = NO_STREAM;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Matcher matcher = EVENT_COUNT.matcher(request.content().toString(StandardCharsets.UTF_8));
      if (matcher.find()) {
        remainingEvents = Integer.parseInt(matcher.group(1));
        context.write(streamResponseHead());
        writeEvents(context);
      } else {
        writeEmptyResponse(context);
      }
    }

    private static HttpResponse streamResponseHead() {
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
          .set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
      return head;
    }

    /** Answers a request that has no event count, such as an abort, with an empty response. */
    private static void writeEmptyResponse(ChannelHandlerContext context) {
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      context.write(head);
      context.writeAndFlush(DefaultLastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Writes events until the channel is no longer writable or the stream is complete. */
    private void writeEvents(ChannelHandlerContext context) {
      while (remainingEvents > 0 && context.channel().isWritable()) {
        remainingEvents--;
        context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(EVENT)));
        if (remainingEvents % EVENTS_PER_FLUSH == 0) {
          context.flush();
        }
      }
      if (remainingEvents == 0) {
        remainingEvents = NO_STREAM;
        context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(LAST_EVENTS)));
        context.writeAndFlush(DefaultLastHttpContent.EMPTY_LAST_CONTENT);
      } else {
        context.flush();
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (context.channel().isWritable() && remainingEvents > 0) {
        writeEvents(context);
      }
    }
  }
}
