package lemondock.net.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;
import lemondock.net.time.ManualLoop;

/**
 * A connection that a test controls, without socket or thread. A subclass decides what happens to
 * the bytes written to it.
 */
public abstract class ScriptedConnection implements Connection {
  private final ManualLoop loop;
  private final InetSocketAddress remoteAddress;
  private final Handler handler;
  private boolean closed;

  /** Creates a connection that reports input from a peer and its own close to the handler. */
  protected ScriptedConnection(ManualLoop loop, InetSocketAddress remoteAddress, Handler handler) {
    this.loop = loop;
    this.remoteAddress = remoteAddress;
    this.handler = handler;
  }

  /** Simulates input from the peer, decoded and delivered as one batch. */
  public final void receive(String text) {
    List<Object> events = new ArrayList<>();
    handler.decode(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), events);
    handler.received(events);
  }

  /**
   * Ends the connection and notifies its handler on the loop.
   *
   * @param cause null for an orderly close
   */
  public final void end(IOException cause) {
    if (!closed) {
      closed = true;
      loop.execute(() -> handler.closed(cause));
    }
  }

  /** Whether either side has closed the connection. */
  public final boolean isClosed() {
    return closed;
  }

  @Override
  public void read() {}

  @Override
  public long pendingBytes() {
    return 0;
  }

  @Override
  public void close() {
    end(null);
  }

  @Override
  public void abort() {
    end(null);
  }

  @Override
  public InetSocketAddress remoteAddress() {
    return remoteAddress;
  }
}
