package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;

/**
 * Runs tasks on the single thread of a channel group. The JDK tries a read or write within the call
 * that starts it only if the calling thread belongs to the channel's group and has run few
 * completion handlers since it took its current event; otherwise it waits for the socket to be
 * reported as ready.
 */
final class IoThreadExecutor {
  /** Address for the connect call that always fails; never connected to. */
  private static final InetSocketAddress UNUSED_ADDRESS =
      InetSocketAddress.createUnresolved("nowhere", 0);

  private final ThreadLoop loop;

  /**
   * A closed channel in the group; operations on it fail on the I/O thread without a system call.
   */
  private final AsynchronousSocketChannel closedChannel;

  private final CompletionHandler<Void, Runnable> taskRunner =
      new CompletionHandler<>() {
        @Override
        public void completed(Void result, Runnable task) {
          failed(new IllegalStateException("connect on a closed channel succeeded"), task);
        }

        @Override
        public void failed(Throwable closed, Runnable task) {
          runReportingFailure(task);
        }
      };

  /**
   * Creates an executor for the single thread of a channel group.
   *
   * @throws IOException if the system lacks the resources for a channel
   */
  IoThreadExecutor(ThreadLoop loop, AsynchronousChannelGroup group) throws IOException {
    this.loop = loop;
    this.closedChannel = AsynchronousSocketChannel.open(group);
    closedChannel.close();
  }

  /**
   * Runs a task on the I/O thread as an event of its own, so that the JDK tries a read that the
   * task starts: if it does not complete within its call, the socket was empty. Any thread.
   *
   * @param onShutdown run on the calling thread or the loop's dedicated thread if the I/O thread is
   *     being stopped
   */
  void execute(Runnable task, Runnable onShutdown) {
    if (IoThread.current() == null) {
      post(task, onShutdown);
    } else {
      // posted from the group's own thread, the task would run within this call
      loop.executeOnDedicatedThread(() -> post(task, onShutdown));
    }
  }

  /**
   * Runs a task on the I/O thread: within this call if the caller is that thread and the JDK still
   * tries operations within their call, otherwise as an event of its own. In the former case it may
   * be the last completion handler for which the JDK does so. Any thread.
   *
   * @param onShutdown run on the calling thread if the I/O thread is being stopped
   */
  void executeNowOrLater(Runnable task, Runnable onShutdown) {
    post(task, onShutdown);
  }

  private void post(Runnable task, Runnable onShutdown) {
    try {
      closedChannel.connect(UNUSED_ADDRESS, task, taskRunner);
    } catch (ShutdownChannelGroupException e) {
      onShutdown.run();
    }
  }

  /** An uncaught exception would end the I/O thread. */
  private void runReportingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      loop.reportFailure(e);
    }
  }
}
