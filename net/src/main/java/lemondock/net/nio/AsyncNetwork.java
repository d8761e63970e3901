package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.Network;

/** Connections on the JDK's asynchronous socket channels; completion handlers decode and hand over to the loop. */
public final class AsyncNetwork implements Network, AutoCloseable {
    private static final int READ_BYTES = 4 * 1024;
    private static final int BACKLOG = 1024;
    private static final int MOST_GATHERED = 64;
    private static final int MOST_AT_ONCE = 16 * 1024;
    private static final long STILL_WRITING = 1_000;
    private static final long HIGH_MARK = 64 * 1024;
    private static final long LOW_MARK = 16 * 1024;
    private static final long ACCEPT_PAUSE = 100_000;
    private static final long LINGER = 500_000;

    private final ThreadLoop loop;
    private final AsynchronousChannelGroup group;
    private final ThreadLoop[] writers;
    private int nextWriter;
    private final Set<Socket> open = new HashSet<>();
    private final Set<Port> ports = new HashSet<>();

    /**
     * Makes a network whose callbacks come on the given loop, with so many threads for reading and decoding, and as many
     * for writing: on loopback and fast links a write carries the bytes all the way, which is too much for the loop.
     */
    public AsyncNetwork(ThreadLoop loop, int threads) throws IOException {
        this.loop = loop;
        this.group = AsynchronousChannelGroup.withFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "lemondock-io");
            thread.setDaemon(true);
            return thread;
        });
        this.writers = new ThreadLoop[threads];
        for (int i = 0; i < threads; i++) {
            writers[i] = new ThreadLoop("lemondock-write", loop::failed);
        }
    }

    @Override
    public Listener listen(InetSocketAddress address, int most, Supplier<Connection.Handler> handlers)
            throws IOException {
        AsynchronousServerSocketChannel channel = AsynchronousServerSocketChannel.open(group);
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        Port port = new Port(channel, most, handlers);
        loop.execute(() -> {
            ports.add(port);
            port.accept();
        });
        return port;
    }

    @Override
    public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException | ShutdownChannelGroupException e) {
            loop.execute(() -> handler.closed(asIo(e)));
            return;
        }
        Socket socket = new Socket(channel, handler, () -> { });
        open.add(socket);
        Loop.Timer limit = loop.schedule(timeoutMicros,
                () -> socket.fail(new IOException("no connection to " + address + " in time")));
        CompletionHandler<Void, Void> handled = new CompletionHandler<>() {
            @Override
            public void completed(Void nothing, Void attachment) {
                loop.execute(() -> {
                    limit.cancel();
                    socket.up();
                });
            }

            @Override
            public void failed(Throwable cause, Void attachment) {
                loop.execute(() -> {
                    limit.cancel();
                    socket.fail(asIo(cause));
                });
            }
        };
        socket.writer.execute(() -> { // on loopback the handshake is done within this call
            try {
                channel.connect(address, null, handled);
            } catch (RuntimeException e) {
                handled.failed(e, null);
            }
        });
    }

    /** Breaks every connection and stops listening, as the death of the process would. Loop thread only. */
    public void abortAll() {
        List.copyOf(ports).forEach(Port::close);
        List.copyOf(open).forEach(Socket::abort);
    }

    /** Ends the threads; connections still open break. */
    @Override
    public void close() throws IOException {
        for (ThreadLoop writer : writers) {
            writer.close();
        }
        group.shutdownNow();
    }

    private static IOException asIo(Throwable cause) {
        return cause instanceof IOException io ? io : new IOException(cause);
    }

    /** A listening port; goes on accepting after a failure such as a lack of file handles. */
    private final class Port implements Listener, CompletionHandler<AsynchronousSocketChannel, Void> {
        private final AsynchronousServerSocketChannel channel;
        private final InetSocketAddress address;
        private final int most;
        private final Supplier<Connection.Handler> handlers;
        private int connections;

        Port(AsynchronousServerSocketChannel channel, int most, Supplier<Connection.Handler> handlers)
                throws IOException {
            this.channel = channel;
            this.address = (InetSocketAddress) channel.getLocalAddress();
            this.most = most;
            this.handlers = handlers;
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public void close() {
            quietly(channel);
            loop.execute(() -> ports.remove(this));
        }

        void accept() {
            if (channel.isOpen()) {
                channel.accept(null, this);
            }
        }

        @Override
        public void completed(AsynchronousSocketChannel accepted, Void attachment) {
            loop.execute(() -> {
                if (connections >= most || !channel.isOpen()) {
                    quietly(accepted);
                } else {
                    take(accepted);
                }
                accept();
            });
        }

        private void take(AsynchronousSocketChannel accepted) {
            try {
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException e) {
                quietly(accepted);
                return;
            }
            connections++;
            Socket socket = new Socket(accepted, handlers.get(), () -> connections--);
            open.add(socket);
            socket.up();
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            loop.execute(() -> {
                if (channel.isOpen()) {
                    loop.schedule(ACCEPT_PAUSE, this::accept);
                }
            });
        }
    }

    /** One socket. The queue of writes is shared with the I/O threads, under its own lock; all else is the loop's. */
    private final class Socket implements Connection {
        private final AsynchronousSocketChannel channel;
        private final Handler handler;
        private final Runnable onClosed;
        private final ThreadLoop writer = writers[nextWriter++ % writers.length];
        private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        private InetSocketAddress peer;
        private boolean writing;
        private boolean wasHigh;
        private volatile boolean closeWhenFlushed;
        private boolean lingering;
        private long pending;
        private long flushed;
        private boolean flushSet;
        private boolean connected;
        private boolean reading;
        private boolean ended;
        private boolean closed;
        private ByteBuffer readBuffer;

        Socket(AsynchronousSocketChannel channel, Handler handler, Runnable onClosed) {
            this.channel = channel;
            this.handler = handler;
            this.onClosed = onClosed;
        }

        void up() {
            if (closed) {
                return;
            }
            connected = true;
            try {
                peer = (InetSocketAddress) channel.getRemoteAddress();
            } catch (IOException e) {
                fail(e);
                return;
            }
            handler.connected(this);
            if (!closed) {
                flushLater();
            }
        }

        @Override
        public InetSocketAddress peer() {
            return peer;
        }

        @Override
        public void read() {
            if (reading || ended || closed || !connected) {
                return;
            }
            reading = true;
            if (readBuffer == null) {
                readBuffer = ByteBuffer.allocate(READ_BYTES);
            }
            readBuffer.clear();
            channel.read(readBuffer, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void attachment) {
                    handOver(count);
                }

                @Override
                public void failed(Throwable cause, Void attachment) {
                    loop.execute(() -> fail(asIo(cause)));
                }
            });
        }

        /** On an I/O thread: the only place where bytes become events. */
        private void handOver(int count) {
            if (count < 0) {
                loop.execute(() -> {
                    reading = false;
                    ended = true;
                    if (lingering) {
                        finish(null);
                    } else if (!closed) {
                        handler.ended();
                    }
                });
                return;
            }
            if (closeWhenFlushed) {
                loop.execute(() -> {
                    reading = false;
                    if (lingering) {
                        read();
                    }
                });
                return;
            }
            List<Object> events = new ArrayList<>();
            try {
                handler.decode(readBuffer.flip(), events);
            } catch (RuntimeException e) {
                loop.execute(() -> fail(new IOException("decoder failed: " + e, e)));
                return;
            }
            loop.execute(() -> {
                reading = false;
                if (lingering) {
                    read();
                } else if (!closed && !closeWhenFlushed) {
                    handler.received(events);
                }
            });
        }

        @Override
        public void write(ByteBuffer bytes) {
            if (closed || closeWhenFlushed || !bytes.hasRemaining()) {
                return;
            }
            synchronized (queue) {
                queue.add(bytes);
                pending += bytes.remaining();
                wasHigh |= pending > HIGH_MARK;
            }
            flushLater();
        }

        private void flushLater() {
            if (!flushSet && connected) {
                flushSet = true;
                loop.atTurnEnd(() -> {
                    flushSet = false;
                    writer.execute(this::flush);
                });
            }
        }

        /**
         * Writes what is queued unless a write is under way; on a writing or an I/O thread. A write that the system takes
         * at once needs no completion handler, whose call would cost a wake-up of an I/O thread; that is the common
         * case and is tried first. What is left goes with a handler.
         */
        private void flush() {
            ByteBuffer[] batch;
            synchronized (queue) {
                if (writing || queue.isEmpty()) {
                    return;
                }
                batch = queue.stream().limit(MOST_GATHERED).toArray(ByteBuffer[]::new);
                writing = true;
            }
            int size = 0;
            for (ByteBuffer b : batch) {
                size += b.remaining();
            }
            if (size > MOST_AT_ONCE) {
                writeWithHandler(batch);
                return;
            }
            ByteBuffer joined = batch.length == 1 ? batch[0].duplicate() : ByteBuffer.allocate(size);
            if (batch.length > 1) {
                for (ByteBuffer b : batch) {
                    joined.put(b.duplicate());
                }
                joined.flip();
            }
            Future<Integer> write;
            try {
                write = channel.write(joined);
            } catch (ShutdownChannelGroupException e) {
                loop.execute(() -> fail(asIo(e)));
                return;
            }
            await(write, batch);
        }

        private void await(Future<Integer> write, ByteBuffer[] batch) {
            if (!write.isDone()) {
                loop.execute(() -> loop.schedule(STILL_WRITING, () -> await(write, batch)));
                return;
            }
            try {
                int count = write.get();
                int left = count;
                for (ByteBuffer b : batch) {
                    int part = Math.min(left, b.remaining());
                    b.position(b.position() + part);
                    left -= part;
                }
                written(count);
            } catch (ExecutionException e) {
                loop.execute(() -> fail(asIo(e.getCause())));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void writeWithHandler(ByteBuffer[] batch) {
            channel.write(batch, 0, batch.length, 0, TimeUnit.MILLISECONDS, null,
                    new CompletionHandler<Long, Void>() {
                        @Override
                        public void completed(Long count, Void attachment) {
                            written(count);
                        }

                        @Override
                        public void failed(Throwable cause, Void attachment) {
                            loop.execute(() -> fail(asIo(cause)));
                        }
                    });
        }

        private void written(long count) {
            boolean tell;
            boolean empty;
            synchronized (queue) {
                writing = false;
                pending -= count;
                flushed += count;
                while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
                    queue.poll();
                }
                empty = queue.isEmpty();
                tell = wasHigh && pending <= LOW_MARK;
                wasHigh &= !tell;
            }
            if (!empty) {
                flush();
            }
            if (tell || empty && closeWhenFlushed) {
                loop.execute(() -> {
                    if (tell && !closed) {
                        handler.drained();
                    }
                    if (closeWhenFlushed && pending() == 0) {
                        linger();
                    }
                });
            }
        }

        @Override
        public long pending() {
            synchronized (queue) {
                return pending;
            }
        }

        @Override
        public long flushed() {
            synchronized (queue) {
                return flushed;
            }
        }

        @Override
        public void close() {
            if (closed) {
                return;
            }
            closeWhenFlushed = true;
            if (pending() == 0) {
                linger();
            }
        }

        /**
         * Says that no more comes, then takes and drops what the peer still sends until it closes too or time is
         * up. Closing with bytes unread would send a reset, and that can destroy an answer on its way.
         */
        private void linger() {
            if (closed || lingering) {
                return;
            }
            if (ended || !connected) {
                finish(null);
                return;
            }
            lingering = true;
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                finish(null);
                return;
            }
            loop.schedule(LINGER, () -> finish(null));
            if (!reading) {
                read();
            }
        }

        @Override
        public void abort() {
            finish(null);
        }

        void fail(IOException cause) {
            finish(cause);
        }

        private void finish(IOException cause) {
            if (closed) {
                return;
            }
            closed = true;
            quietly(channel);
            synchronized (queue) {
                queue.clear();
                pending = 0;
            }
            open.remove(this);
            onClosed.run();
            loop.execute(() -> handler.closed(cause));
        }
    }

    private static void quietly(java.nio.channels.Channel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // nothing is lost: the channel is given up in any case
        }
    }
}
