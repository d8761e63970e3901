package lemondock.net.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Service whose response depends on the path: {@code /hold} gets none, {@code /flood} a long one,
 * {@code /events} an event stream, any other the path and the body length.
 */
final class PathService implements HttpService {
  /** Number of exchanges whose client disconnected before the response was finished. */
  final AtomicInteger disconnects = new AtomicInteger();

  /** The last exchange that gets no response. */
  volatile HttpExchange held;

  @Override
  public void serve(HttpExchange exchange) {
    exchange.onDisconnect(disconnects::incrementAndGet);
    switch (exchange.request().path()) {
      case "/hold" -> held = exchange;
      case "/flood" -> {
        exchange.begin(200, Headers.of("content-type", "text/plain"));
        for (int i = 0; i < 400; i++) {
          exchange.send(new byte[50_000]);
        }
      }
      case "/events" -> {
        exchange.begin(200, Headers.of("content-type", "text/event-stream"));
        exchange.send("data: a\n\ndata: b\n\n".getBytes(StandardCharsets.UTF_8));
        exchange.finish();
      }
      default -> {
        String text = exchange.request().path() + exchange.request().body().length;
        exchange.respond(200, new Headers(), text.getBytes(StandardCharsets.UTF_8));
      }
    }
  }
}
