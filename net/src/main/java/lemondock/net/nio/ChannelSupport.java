package lemondock.net.nio;

import java.io.IOException;
import java.net.BindException;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.Channel;
import java.nio.channels.CompletionHandler;
import lemondock.net.LocalResourcesExhaustedException;

/** Helpers for JDK channels. Any thread. */
final class ChannelSupport {
  private ChannelSupport() {}

  /** Closes a channel that is no longer used and ignores a failure to close it. */
  static void closeQuietly(Channel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // nothing depends on the channel any more
    }
  }

  /**
   * Ends both directions of a channel that cannot be closed, because its lock is held for ever. The
   * channel's descriptor stays in use until the process ends.
   */
  static void shutDownQuietly(AsynchronousSocketChannel channel) {
    try {
      channel.shutdownInput();
      channel.shutdownOutput();
    } catch (IOException e) {
      // the connection is broken already
    }
  }

  /** Closes a channel on a thread of its own, because the close may block for ever. */
  static void closeOnOwnThread(AsynchronousSocketChannel channel) {
    Thread thread = new Thread(() -> closeQuietly(channel), "lemondock-close");
    thread.setDaemon(true);
    thread.start();
  }

  /** A handler that does nothing. */
  static CompletionHandler<Integer, Void> ignoringHandler() {
    return new CompletionHandler<>() {
      @Override
      public void completed(Integer count, Void attachment) {}

      @Override
      public void failed(Throwable cause, Void attachment) {}
    };
  }

  /**
   * Converts a failure to the exception that the connection's owner receives. A failure to bind, or
   * to register a socket (an {@link Error}), becomes a {@link LocalResourcesExhaustedException},
   * because it says nothing about the peer.
   */
  static IOException toIoException(Throwable cause) {
    if (cause instanceof BindException) {
      return new LocalResourcesExhaustedException(
          "no local address or port available: " + cause.getMessage(), cause);
    }
    if (cause instanceof Error) {
      return new LocalResourcesExhaustedException("the socket cannot be polled: " + cause, cause);
    }
    return cause instanceof IOException io ? io : new IOException(cause);
  }
}
