package lemondock.net.nio;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.ShutdownChannelGroupException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.NoRoomException;

/**
 * Connections on the JDK's asynchronous socket channels. Each I/O thread has a channel group of its own (a shard): with several
 * threads in one group the JDK hands each event from the thread that polls to another one, a wake-up a token. A thread that
 * brings bytes decodes them, has them handled in the loop's context if that is free, and writes what comes of it.
 *
 * <p>State: a socket's queue of writes is under its own lock, all else is the loop's context's. System calls are made
 * outside the context.
 */
public final class AsyncNetwork implements Network, AutoCloseable {
    private static final int READ_BYTES = 4 * 1024;
    private static final int MOST_READ_BYTES = 32 * 1024;
    private static final int BACKLOG = 1024;
    private static final int EVENTS = 4;
    private static final int TAIL_BYTES = 512;
    private static final int MOST_GATHERED = 64;
    private static final int MOST_AT_ONCE = 16 * 1024;
    private static final long HIGH_MARK = 64 * 1024;
    private static final long LOW_MARK = 16 * 1024;
    /**
     * Sockets that each shard accepts by: the JDK takes one connection from each a round through all that is ready, and with many
     * ready a round is long.
     */
    private static final int ACCEPTORS = 8;
    private static final long ACCEPT_PAUSE = 100_000;
    private static final long LINGER = 500_000;
    private static final long PROBE_CONNECTS = 10;

    private final ThreadLoop loop;
    private final AsynchronousChannelGroup[] groups;
    private final int acceptors;
    private int nextGroup;
    private final Set<Socket> open = new HashSet<>();
    private final Set<Port> ports = new HashSet<>();
    private final List<ShardProbe> probes = new CopyOnWriteArrayList<>();

    /** A thread of one shard. */
    private static final class IoThread extends Thread {
        private final int shard;
        /** Sockets written to while the batch at hand is decoded. */
        private final ArrayList<Socket> written = new ArrayList<>();
        /** Empty, for the next batch; most batches give no events. */
        private ArrayList<Object> spare = new ArrayList<>(EVENTS);

        IoThread(Runnable task, int shard) {
            super(task, "lemondock-io-" + shard);
            this.shard = shard;
            setDaemon(true);
        }
    }

    /** Makes a network whose callbacks come in the given loop's context, with so many I/O threads. */
    public AsyncNetwork(ThreadLoop loop, int threads) throws IOException {
        this(loop, threads, ACCEPTORS);
    }

    /**
     * The same with so many listening sockets a port and I/O thread. One thread with one needs no shared port: some hosts allow only one
     * socket at an address, and a gateway that few connections come to gains nothing by more.
     */
    public AsyncNetwork(ThreadLoop loop, int threads, int acceptors) throws IOException {
        this.loop = loop;
        this.acceptors = acceptors;
        this.groups = new AsynchronousChannelGroup[threads];
        for (int i = 0; i < threads; i++) {
            int shard = i;
            groups[i] = AsynchronousChannelGroup.withFixedThreadPool(1, task -> new IoThread(task, shard));
        }
    }

    /**
     * Listens in all shards on one port; the system spreads the connections. Ports shared so may be shared by other processes
     * of the same user too, so the port is first taken alone: that fails if anybody has it.
     */
    @Override
    public Listener listen(InetSocketAddress address, int most, Supplier<Connection.Handler> handlers)
            throws IOException {
        InetSocketAddress taken = groups.length * acceptors > 1 ? probed(address) : null;
        Port port = new Port(most, handlers);
        try {
            for (int i = 0; i < (taken == null ? 1 : groups.length * acceptors); i++) {
                AsynchronousServerSocketChannel channel = AsynchronousServerSocketChannel.open(groups[i % groups.length]);
                port.channels.add(channel);
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                if (taken != null) {
                    channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
                }
                channel.bind(taken == null ? address : taken, BACKLOG);
                port.address = (InetSocketAddress) channel.getLocalAddress();
            }
        } catch (IOException e) {
            port.channels.forEach(AsyncNetwork::quietly);
            throw e;
        }
        loop.execute(() -> {
            ports.add(port);
            for (int i = 0; i < port.channels.size(); i++) {
                port.accept(i);
            }
        });
        return port;
    }

    /** The address, taken alone for a moment; null where ports cannot be shared. */
    private InetSocketAddress probed(InetSocketAddress address) throws IOException {
        try (AsynchronousServerSocketChannel alone = AsynchronousServerSocketChannel.open(groups[0])) {
            alone.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            alone.bind(address, BACKLOG);
            return alone.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)
                    ? (InetSocketAddress) alone.getLocalAddress() : null;
        }
    }

    @Override
    public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
        int shard = Thread.currentThread() instanceof IoThread io && io.shard < groups.length ? io.shard
                : nextGroup++ % groups.length;
        connect(address, timeoutMicros, shard, handler);
    }

    @Override
    public void connect(InetSocketAddress address, long timeoutMicros, int near, Connection.Handler handler) {
        int shard = Math.floorMod(near, groups.length);
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(groups[shard]);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException | ShutdownChannelGroupException e) {
            loop.execute(() -> handler.closed(new NoRoomException("no socket can be opened: " + e.getMessage(), e)));
            return;
        }
        Socket socket = new Socket(channel, shard, handler, () -> { });
        open.add(socket);
        Loop.Timer limit = loop.schedule(timeoutMicros,
                () -> socket.fail(new IOException("no connection to " + address + " in time")));
        CompletionHandler<Void, Void> handled = new CompletionHandler<>() {
            @Override
            public void completed(Void nothing, Void attachment) {
                loop.executeHere(() -> {
                    limit.cancel();
                    socket.up();
                });
            }

            @Override
            public void failed(Throwable cause, Void attachment) {
                loop.executeHere(() -> {
                    limit.cancel();
                    socket.fail(asIo(cause));
                });
            }
        };
        loop.outside(() -> { // on loopback the handshake is done within this call
            try {
                channel.connect(address, null, handled);
            } catch (RuntimeException e) {
                handled.failed(e, null);
            }
        });
    }

    @Override
    public List<Probe> probes() throws IOException {
        List<Probe> all = new ArrayList<>();
        for (AsynchronousChannelGroup group : groups) {
            ShardProbe probe = new ShardProbe(group);
            probes.add(probe);
            all.add(probe);
        }
        return all;
    }

    /**
     * A loopback connection to itself: a byte put in at one end waits at the other like what clients send. The kernel's list of
     * ready sockets is in order of coming.
     */
    private final class ShardProbe implements Probe, CompletionHandler<Integer, Void> {
        private final AsynchronousSocketChannel end;
        private final SocketChannel other;
        private final ByteBuffer out = ByteBuffer.allocate(1);
        private final ByteBuffer in = ByteBuffer.allocate(1);
        private volatile long sentAt;
        private boolean waiting;
        private LongConsumer told;

        ShardProbe(AsynchronousChannelGroup group) throws IOException {
            end = AsynchronousSocketChannel.open(group);
            try (ServerSocketChannel port = ServerSocketChannel.open()) {
                port.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
                Future<Void> connected = end.connect(port.getLocalAddress());
                other = port.accept();
                connected.get(PROBE_CONNECTS, TimeUnit.SECONDS);
                other.configureBlocking(false);
                other.setOption(StandardSocketOptions.TCP_NODELAY, true);
                if (!other.getRemoteAddress().equals(end.getLocalAddress())) {
                    throw new IOException("somebody else came to the port of a probe");
                }
            } catch (ExecutionException | TimeoutException e) {
                throw new IOException("a probe cannot connect to itself", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
            end.read(in, null, this);
        }

        @Override
        public long ask(LongConsumer waited) {
            if (waiting) {
                return Math.max(1, loop.now() - sentAt);
            }
            waiting = true;
            told = waited;
            sentAt = loop.now();
            out.clear();
            try {
                other.write(out);
            } catch (IOException e) {
                close(); // it tells nothing any more
            }
            return 0;
        }

        /** On the shard's thread. */
        @Override
        public void completed(Integer count, Void attachment) {
            long took = loop.now() - sentAt;
            if (count < 0) {
                return;
            }
            in.clear();
            end.read(in, null, this);
            loop.executeHere(() -> {
                waiting = false;
                told.accept(took);
            });
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            close();
        }

        void close() {
            quietly(end);
            quietly(other);
        }
    }

    /** Breaks every connection and stops listening, as the death of the process would. Loop thread only. */
    public void abortAll() {
        List.copyOf(ports).forEach(Port::close);
        List.copyOf(open).forEach(Socket::abort);
    }

    /** Ends the threads; connections still open break. */
    @Override
    public void close() throws IOException {
        probes.forEach(ShardProbe::close);
        for (AsynchronousChannelGroup group : groups) {
            group.shutdownNow();
        }
    }

    private static void flushWritten() {
        if (Thread.currentThread() instanceof IoThread io) {
            for (int i = 0; i < io.written.size(); i++) {
                Socket socket = io.written.get(i);
                socket.dirty = false;
                socket.flush();
            }
            io.written.clear();
        }
    }

    private static IOException asIo(Throwable cause) {
        return cause instanceof BindException ? new NoRoomException("no local address or port: " + cause.getMessage(), cause)
                : cause instanceof IOException io ? io : new IOException(cause);
    }

    /** A listening port; goes on accepting after a failure such as a lack of file handles. */
    private final class Port implements Listener {
        private final List<AsynchronousServerSocketChannel> channels = new ArrayList<>();
        private final int most;
        private final Supplier<Connection.Handler> handlers;
        private InetSocketAddress address;
        private int connections;

        Port(int most, Supplier<Connection.Handler> handlers) {
            this.most = most;
            this.handlers = handlers;
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public void close() {
            channels.forEach(AsyncNetwork::quietly);
            loop.execute(() -> ports.remove(this));
        }

        void accept(int number) {
            AsynchronousServerSocketChannel channel = channels.get(number);
            if (!channel.isOpen()) {
                return;
            }
            CompletionHandler<AsynchronousSocketChannel, Void> handled = new CompletionHandler<>() {
                @Override
                public void completed(AsynchronousSocketChannel accepted, Void attachment) {
                    loop.executeHere(() -> {
                        if (connections >= most || !channel.isOpen()) {
                            quietly(accepted);
                        } else {
                            take(accepted, number % groups.length);
                        }
                        accept(number);
                    });
                }

                @Override
                public void failed(Throwable cause, Void attachment) {
                    loop.executeHere(() -> {
                        if (channel.isOpen()) {
                            loop.schedule(ACCEPT_PAUSE, () -> accept(number));
                        }
                    });
                }
            };
            try {
                channel.accept(null, handled);
            } catch (ShutdownChannelGroupException e) {
                quietly(channel); // the network is being closed
            }
        }

        private void take(AsynchronousSocketChannel accepted, int shard) {
            try {
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException e) {
                quietly(accepted);
                return;
            }
            connections++;
            Socket socket = new Socket(accepted, shard, handlers.get(), () -> connections--);
            open.add(socket);
            socket.up();
        }
    }

    /** One socket. The queue of writes is shared with the I/O threads, under its own lock; all else is the loop's. */
    private final class Socket implements Connection, CompletionHandler<Integer, Void> {
        private final AsynchronousSocketChannel channel;
        private final Handler handler;
        private final Runnable onClosed;
        private final int shard;
        private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        private InetSocketAddress peer;
        private boolean writing;
        /** Closed while a write is under way: what it brought must be known before the owner hears of the close. */
        private boolean closeWaits;
        private IOException closeCause;
        private boolean wasHigh;
        private volatile boolean closeWhenFlushed;
        private boolean lingering;
        private long pending;
        private long flushed;
        private long offered;
        private boolean flushSet;
        private boolean connected;
        private boolean reading;
        private boolean ended;
        private volatile boolean closed;
        private ByteBuffer readBuffer;
        private volatile boolean dirty;
        private int readBytes = READ_BYTES;
        /** Batches that the I/O thread has read for the loop; written by that thread alone. */
        private int batchesRead;
        /** Of those, the ones that the owner has seen; the loop's. */
        private int batchesSeen;
        /** The owner wants a close if nothing comes until all is written. */
        private volatile boolean idleCloseWaits;
        private boolean idleCloseLingers;
        private final Runnable flushAtTurnEnd = this::atTurnEnd;
        private final Runnable flush = this::flush;
        private final CompletionHandler<Integer, Void> heard = new CompletionHandler<>() {
            @Override
            public void completed(Integer count, Void attachment) {
                handOver(count);
            }

            @Override
            public void failed(Throwable cause, Void attachment) {
                loop.executeHere(() -> fail(asIo(cause)));
            }
        };
        /** The last of the queue if it is this socket's own and takes more; when all is written it waits for the next bytes. */
        private ByteBuffer tail;
        private boolean tailQueued;

        Socket(AsynchronousSocketChannel channel, int shard, Handler handler, Runnable onClosed) {
            this.channel = channel;
            this.shard = shard;
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
            loop.outside(this::startRead);
        }

        @Override
        public int shard() {
            return shard;
        }

        private void startRead() {
            if (readBuffer == null || readBuffer.capacity() != readBytes) {
                readBuffer = ByteBuffer.allocate(readBytes);
            }
            readBuffer.clear();
            channel.read(readBuffer, null, heard);
        }

        /** On an I/O thread: the only place where bytes become events. */
        private void handOver(int count) {
            if (count < 0) {
                loop.executeHere(() -> {
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
                loop.executeHere(() -> {
                    reading = false;
                    if (lingering) {
                        read();
                    }
                });
                return;
            }
            // a peer that sends much is read in larger pieces while it does; one that is waited for holds little memory
            readBytes = count == readBytes ? Math.min(MOST_READ_BYTES, 2 * readBytes) : READ_BYTES;
            batchesRead++;
            IoThread io = Thread.currentThread() instanceof IoThread own ? own : null;
            ArrayList<Object> events = io == null ? new ArrayList<>(EVENTS) : io.spare;
            boolean readsOn;
            try {
                handler.decode(readBuffer.flip(), events);
                readsOn = events.isEmpty() && handler.readsOn();
            } catch (RuntimeException | Error e) { // what escapes would end the shard's thread and leave its sockets unheard
                loop.failed(e);
                loop.executeHere(() -> fail(new IOException("decoder failed: " + e, e)));
                return;
            } finally {
                if (io != null && !events.isEmpty()) {
                    io.spare = new ArrayList<>(EVENTS);
                }
                flushWritten();
            }
            if (readsOn) {
                batchesRead--;
                startRead();
                return;
            }
            List<Object> batch = events.isEmpty() ? List.of() : events;
            loop.executeHere(() -> {
                reading = false;
                batchesSeen++;
                idleCloseWaits = false;
                if (lingering) {
                    read();
                } else if (!closed && !closeWhenFlushed) {
                    handler.received(batch);
                }
            });
        }

        @Override
        public void write(ByteBuffer bytes) {
            if (queued(bytes)) {
                flushLater();
            }
        }

        /** Any thread; a close seen late on another thread is as if the bytes had been on their way. */
        private boolean queued(ByteBuffer bytes) {
            if (closed || closeWhenFlushed || !bytes.hasRemaining()) {
                return false;
            }
            synchronized (queue) {
                queue.add(bytes);
                pending += bytes.remaining();
                wasHigh |= pending > HIGH_MARK;
            }
            return true;
        }

        @Override
        public void writeNow(ByteBuffer bytes) {
            if (queued(bytes)) {
                flushSoon();
            }
        }

        @Override
        public void writeNow(byte[] bytes, int from, int length) {
            if (closed || closeWhenFlushed || length == 0) {
                return;
            }
            synchronized (queue) {
                ByteBuffer last = tail;
                boolean open = last != null && queue.peekLast() == last && !(writing && queue.size() == 1);
                if (open && last.capacity() - last.limit() >= length) {
                    System.arraycopy(bytes, from, last.array(), last.limit(), length);
                    last.limit(last.limit() + length);
                } else {
                    boolean free = last != null && !tailQueued && last.capacity() >= length;
                    last = free ? last.clear() : ByteBuffer.allocate(Math.max(TAIL_BYTES, length));
                    System.arraycopy(bytes, from, last.array(), 0, length);
                    queue.add(last.limit(length));
                    tail = last.capacity() == TAIL_BYTES ? last : null;
                    tailQueued = true;
                }
                pending += length;
                wasHigh |= pending > HIGH_MARK;
            }
            flushSoon();
        }

        /** With the rest of the turn or of the batch at hand, or at once where there is neither. */
        private void flushSoon() {
            if (loop.inLoop()) {
                flushLater();
            } else if (!(Thread.currentThread() instanceof IoThread io)) {
                flush();
            } else if (!dirty) {
                dirty = true;
                io.written.add(this);
            }
        }

        private void flushLater() {
            if (!flushSet && connected) {
                flushSet = true;
                loop.atTurnEnd(flushAtTurnEnd);
            }
        }

        private void atTurnEnd() {
            flushSet = false;
            loop.outside(flush);
        }

        /**
         * Writes what is queued unless a write is under way. On a thread of the socket's shard the write is tried at once and
         * its handler called here; elsewhere the shard's thread does it when the socket can take it. Either way nothing is
         * done for a peer that takes nothing until it does.
         */
        private void flush() {
            ByteBuffer bytes;
            synchronized (queue) {
                if (writing || queue.isEmpty()) {
                    return;
                }
                bytes = queue.peek();
                if (queue.size() > 1 && bytes.remaining() < MOST_AT_ONCE) {
                    bytes = joined();
                }
                writing = true;
                offered = flushed + bytes.remaining();
            }
            channel.write(bytes, null, this);
        }

        /** Puts what is queued, up to a bound, into one buffer at the head of the queue. */
        private ByteBuffer joined() {
            int count = 0;
            int size = 0;
            for (ByteBuffer b : queue) {
                if (count == MOST_GATHERED || count > 0 && size + b.remaining() > MOST_AT_ONCE) {
                    break;
                }
                size += b.remaining();
                count++;
            }
            ByteBuffer all = ByteBuffer.allocate(size);
            for (int i = 0; i < count; i++) {
                all.put(taken());
            }
            queue.addFirst(all.flip());
            return all;
        }

        private ByteBuffer taken() {
            ByteBuffer head = queue.poll();
            tailQueued &= head != tail;
            return head;
        }

        @Override
        public void completed(Integer count, Void attachment) {
            written(count);
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            boolean late;
            synchronized (queue) {
                writing = false;
                late = closeWaits;
            }
            if (late) {
                loop.execute(() -> handler.closed(closeCause));
            } else {
                loop.executeHere(() -> fail(asIo(cause)));
            }
        }

        private void written(long count) {
            boolean tell;
            boolean empty;
            boolean late;
            synchronized (queue) {
                writing = false;
                flushed += count;
                late = closeWaits;
                pending = late ? 0 : pending - count;
                while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
                    taken();
                }
                empty = queue.isEmpty();
                tell = wasHigh && pending <= LOW_MARK;
                wasHigh &= !tell;
            }
            if (late) {
                loop.execute(() -> handler.closed(closeCause));
                return;
            }
            if (!empty) {
                flush();
            }
            if (tell || empty && (closeWhenFlushed || idleCloseWaits)) {
                loop.executeHere(() -> {
                    if (tell && !closed) {
                        handler.drained();
                    }
                    if (closeWhenFlushed && pending() == 0) {
                        linger();
                    } else if (idleCloseWaits && pending() == 0 && !closed) {
                        endUnlessReading();
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
        public long offered() {
            synchronized (queue) {
                return offered;
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
         * An empty write is completed on the thread that does all reads of this socket, whatever thread asks for it: what that thread has read
         * before is counted by then, and it reads nothing while it decides.
         */
        @Override
        public void closeIfIdle(boolean lingers) {
            if (closed || closeWhenFlushed) {
                return;
            }
            idleCloseWaits = true;
            idleCloseLingers = lingers;
            if (pending() == 0) {
                endUnlessReading();
            }
        }

        private void endUnlessReading() {
            idleCloseWaits = false;
            int seen = batchesSeen;
            boolean lingers = idleCloseLingers;
            CompletionHandler<Integer, Void> onReadingThread = new CompletionHandler<>() {
                @Override
                public void completed(Integer nothing, Void attachment) {
                    endUnlessRead(seen, lingers);
                }

                @Override
                public void failed(Throwable cause, Void attachment) {
                    loop.executeHere(() -> fail(asIo(cause)));
                }
            };
            loop.outside(() -> {
                try {
                    channel.write(ByteBuffer.allocate(0), null, onReadingThread);
                } catch (RuntimeException e) {
                    onReadingThread.failed(e, null);
                }
            });
        }

        /** On the I/O thread. */
        private void endUnlessRead(int seen, boolean lingers) {
            if (batchesRead != seen || closed) {
                return;
            }
            closeWhenFlushed = true; // what is read from here on is dropped
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                quietly(channel); // broken already; the loop finds it so
            }
            loop.executeHere(() -> {
                if (lingers) {
                    linger();
                } else {
                    finish(null);
                }
            });
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
            boolean waits;
            synchronized (queue) {
                queue.clear();
                pending = 0;
                tail = null;
                waits = writing;
                closeWaits = writing;
                closeCause = cause;
            }
            open.remove(this);
            onClosed.run();
            if (!waits) {
                loop.execute(() -> handler.closed(cause));
            }
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
