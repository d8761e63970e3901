package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;
import static lemondock.gateway.mcp.HttpReplies.sendText;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.Mcp;

/**
 * Handles GET requests: a client opens the stream for messages that belong to no call, or resumes a
 * stream whose connection was lost. Loop thread only.
 */
final class GetHandler {
  /** The stream number, then the event number. */
  private static final Pattern EVENT_ID = Pattern.compile("([0-9]{1,18})-([0-9]{1,18})");

  /** Number of the stream that belongs to no call; streams of calls are numbered from 1. */
  private static final long SERVER_STREAM_NUMBER = 0;

  private final Loop loop;
  private final SessionResolver sessionResolver;
  private final ResumableEventStream.Options streamOptions;

  GetHandler(Loop loop, GatewaySettings.Front settings, SessionResolver sessionResolver) {
    this.loop = loop;
    this.sessionResolver = sessionResolver;
    this.streamOptions =
        new ResumableEventStream.Options(
            settings.replayBytes(), 0, GatewaySettings.micros(settings.keepAliveMs()));
  }

  /** Responds with an event stream, or with the reason why there is none. */
  void handle(HttpExchange exchange) {
    if (!ContentNegotiation.accepts(
        exchange.request().headers(), ContentNegotiation.EVENT_STREAM)) {
      sendText(exchange, 406, "expected accept: text/event-stream");
      return;
    }
    sessionResolver.resolve(exchange).ifPresent(session -> handle(exchange, session));
  }

  private void handle(HttpExchange exchange, McpSession session) {
    Optional<String> lastEventId = exchange.request().headers().firstValue(Mcp.LAST_EVENT_HEADER);
    if (lastEventId.isEmpty()) {
      openServerStream(exchange, session);
    } else if (!resume(exchange, session, lastEventId.get())) {
      sendText(
          exchange,
          404,
          "the stream of event "
              + clip(lastEventId.get())
              + " is over or its events are not kept any more");
    }
  }

  private void openServerStream(HttpExchange exchange, McpSession session) {
    ResumableEventStream stream =
        new ResumableEventStream(
            loop, SERVER_STREAM_NUMBER, streamOptions, new ServerStreamListener(session));
    session.replaceServerStream(stream);
    stream.open(exchange, session.id(), false);
  }

  private static boolean resume(HttpExchange exchange, McpSession session, String lastEventId) {
    Matcher id = EVENT_ID.matcher(lastEventId);
    if (!id.matches()) {
      return false;
    }
    long lastSeenNumber = Long.parseLong(id.group(2));
    return session
        .findStream(Long.parseLong(id.group(1)))
        .filter(stream -> stream.resume(exchange, session.id(), lastSeenNumber))
        .isPresent();
  }

  /** Pauses nothing, since nothing produces messages for this stream. */
  private record ServerStreamListener(McpSession session) implements ResumableEventStream.Listener {
    @Override
    public void pauseProducer() {}

    @Override
    public void resumeProducer() {}

    @Override
    public void streamClosed(ResumableEventStream stream, boolean delivered) {
      session.removeServerStream(stream);
    }
  }
}
