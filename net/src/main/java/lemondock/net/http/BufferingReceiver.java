package lemondock.net.http;

import java.util.Optional;

/** A receiver that keeps the head and the body until the response is complete. Loop thread only. */
public abstract class BufferingReceiver implements ResponseReceiver {
  /** Empty before the head has come. */
  private Optional<HttpEvent.ResponseHead> head = Optional.empty();

  private byte[] body = new byte[0];

  @Override
  public void onHead(HttpEvent.ResponseHead received) {
    head = Optional.of(received);
  }

  @Override
  public void onBody(byte[] bytes) {
    body = bytes;
  }

  /** The body; empty if the response is an event stream or has not come. */
  protected byte[] body() {
    return body;
  }

  /** The status, 0 before the head has come. */
  protected int status() {
    return head.map(HttpEvent.ResponseHead::status).orElse(0);
  }

  /** A header field's first value; empty also before the head has come. */
  protected Optional<String> header(String name) {
    return head.flatMap(received -> received.headers().firstValue(name));
  }
}
