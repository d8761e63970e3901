package lemondock.net.testing;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import lemondock.net.Connection;

/** A handler that reads once and ignores what happens; a test overrides what it looks at. */
public class IgnoringHandler implements Connection.Handler {
  @Override
  public void connected(Connection connection) {
    connection.read();
  }

  @Override
  public void decode(ByteBuffer bytes, List<Object> events) {}

  @Override
  public void received(List<Object> events) {}

  @Override
  public void inputEnded() {}

  @Override
  public void writeQueueDrained() {}

  @Override
  public void closed(IOException cause) {}
}
