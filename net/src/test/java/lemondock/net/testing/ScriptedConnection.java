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
 * A connection that a test moves: no socket, no thread. A subclass says what becomes of the bytes
 * written to it.
 */
public abstract class ScriptedConnection implements Connection {
  private final ManualLoop loop;
  private final InetSocketAddress remoteAddress;
  private final Handler handler;
  private boolean closed;

  /** Makes a connection to that peer which tells its owner, the handler, of all that comes. */
  protected ScriptedConnection(ManualLoop loop, InetSocketAddress remoteAddress, Handler handler) {
    this.loop = loop;
    this.remoteAddress = remoteAddress;
    this.handler = handler;
  }

  /** Has bytes come from the peer, decoded and handed over as one batch. */
  public final void receive(String text) {
    List<Object> events = new ArrayList<>();
    handler.decode(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), events);
    handler.received(events);
  }

  /**
   * Ends the connection; its owner hears of it on the loop, with that cause, null after an orderly
   * close.
   */
  public final void end(IOException cause) {
    if (!closed) {
      closed = true;
      loop.execute(() -> handler.closed(cause));
    }
  }

  /** Whether it has been closed by either side. */
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
