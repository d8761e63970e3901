package lemondock.net.http;

/** A receiver that keeps the head and the body until the response is complete. Loop thread only. */
public abstract class BufferingReceiver implements ResponseReceiver {
  private HttpEvent.ResponseHead head;
  private byte[] body = new byte[0];

  @Override
  public void onHead(HttpEvent.ResponseHead received) {
    head = received;
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
    return head == null ? 0 : head.status();
  }

  /** A header field's first value, null if there is none. */
  protected String header(String name) {
    return head == null ? null : head.headers().get(name);
  }
}
