package lemondock.net.nio;

import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import lemondock.net.LocalResourcesExhaustedException;

/**
 * Recovers one connection after the I/O thread of its shard has ended by an error. The JDK throws
 * that error if it cannot register a socket with epoll again after an event. It then calls no
 * handler for the read or write that it was completing, does not poll the socket any more, and
 * never releases a lock that a close of the channel needs. Loop thread only, unless a method says
 * otherwise.
 */
final class LostThreadRecovery {
  /** Time within which something must be written after the I/O thread was replaced. */
  private static final long MAX_UNPOLLED_MICROS = 1_000_000;

  private final AsyncConnection connection;
  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Shard shard;
  private final SocketReader reader;
  private final SocketWriter writer;

  /** Number of I/O threads that the shard had had when the connection was created. */
  private final int threadsCreatedBefore;

  /**
   * Whether the completion of a read or write was lost, so that the channel's lock is held for
   * ever. Set on the I/O thread, read on any thread.
   */
  private volatile boolean completionLost;

  LostThreadRecovery(
      AsyncConnection connection,
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      Shard shard,
      SocketReader reader,
      SocketWriter writer) {
    this.connection = connection;
    this.loop = loop;
    this.channel = channel;
    this.shard = shard;
    this.reader = reader;
    this.writer = writer;
    this.threadsCreatedBefore = shard.threads().created();
  }

  /** Called after the I/O thread was replaced: looks for what was lost with it. */
  void ioThreadReplaced() {
    loop.runAfterTurn(() -> executeOnIoThread(this::checkForLostCompletion));
    if (connection.pendingBytes() > 0) {
      long flushedBefore = connection.flushedBytes();
      loop.schedule(MAX_UNPOLLED_MICROS, () -> failIfNothingWritten(flushedBefore));
    }
  }

  private void executeOnIoThread(Runnable task) {
    shard.ioThread().execute(task, () -> {});
  }

  /**
   * Looks for an operation that the JDK does not perform any more and whose completion was not
   * reported. It may still be reported by a task that waits behind this one, so a second look
   * follows. I/O thread only.
   */
  private void checkForLostCompletion() {
    int readNumber = reader.unreportedRead();
    int writeNumber = writer.unreportedWrite();
    if (readNumber != 0 || writeNumber != 0) {
      executeOnIoThread(
          () ->
              recoverLostCompletion(
                  readNumber != 0 && readNumber == reader.unreportedRead(),
                  writeNumber != 0 && writeNumber == writer.unreportedWrite()));
    }
  }

  /** I/O thread only. */
  private void recoverLostCompletion(boolean readLost, boolean writeLost) {
    completionLost |= readLost || writeLost;
    if (readLost) {
      loop.executeInline(this::fail);
    } else if (writeLost) {
      writer.recoverLostCompletion();
      loop.executeInline(() -> loop.schedule(MAX_UNPOLLED_MICROS, this::failIfUnpolled));
    }
  }

  private void failIfUnpolled() {
    if (writer.isUnpolled()) {
      fail();
    }
  }

  private void failIfNothingWritten(long flushedBefore) {
    if (connection.pendingBytes() > 0 && connection.flushedBytes() == flushedBefore) {
      fail();
    }
  }

  private void fail() {
    IOException cause =
        new LocalResourcesExhaustedException("the socket could not be polled again", null);
    connection.fail(cause);
  }

  /**
   * Closes the channel without blocking.
   *
   * @return whether the completion of a write in progress is certain to be reported
   */
  boolean closeChannel() {
    boolean threadLost = shard.threads().created() != threadsCreatedBefore;
    if (completionLost) {
      ChannelSupport.shutDownQuietly(channel);
    } else if (threadLost) {
      ChannelSupport.closeOnOwnThread(channel);
    } else {
      ChannelSupport.closeQuietly(channel);
    }
    return !threadLost;
  }
}
