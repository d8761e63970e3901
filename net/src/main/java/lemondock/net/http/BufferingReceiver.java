package lemondock.net.http;

import java.util.Optional;

/** A receiver that stores the head and the body of its response. Loop thread only. */
public abstract class BufferingReceiver implements ResponseReceiver {
  /** Empty until the head is received. */
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

  /** The body; empty if the response is an event stream or its body is not received yet. */
  protected byte[] body() {
    return body;
  }

  /** The status code; 0 until the head is received. */
  protected int status() {
    return head.map(HttpEvent.ResponseHead::status).orElse(0);
  }

  /** The first value of a header field; empty if it is absent or the head is not received yet. */
  protected Optional<String> header(String name) {
    return head.flatMap(received -> received.headers().firstValue(name));
  }
}
