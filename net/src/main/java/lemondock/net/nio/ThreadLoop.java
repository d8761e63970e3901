package lemondock.net.nio;

import java.util.ArrayDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.net.time.TimerWheel;

/**
 * A loop on a thread of its own and the machine's clock. Its inbox needs no bound of its own: a connection hands over
 * one batch and waits until that is handled, so it holds at most a few tasks a connection.
 */
public final class ThreadLoop implements Loop, AutoCloseable {
    private static final long TICK = 1_000;
    private static final int BATCH = 256;
    private static final long SPIN_NANOS = 30_000;

    private final ConcurrentLinkedQueue<Runnable> inbox = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean parked = new AtomicBoolean();
    private final ArrayDeque<Runnable> turnEnds = new ArrayDeque<>();
    private final Consumer<Throwable> failure;
    private final Thread thread;
    private final TimerWheel wheel;
    private boolean busy;
    private volatile boolean stopped;

    /** Starts the loop; what a task throws goes to {@code failure}, and the loop goes on. */
    public ThreadLoop(String name, Consumer<Throwable> failure) {
        this.failure = failure;
        this.wheel = new TimerWheel(now(), TICK);
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public boolean inLoop() {
        return Thread.currentThread() == thread;
    }

    @Override
    public void execute(Runnable task) {
        inbox.add(task);
        if (!inLoop() && parked.get() && parked.compareAndSet(true, false)) {
            LockSupport.unpark(thread);
        }
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        TimerWheel.Entry entry = wheel.schedule(now() + Math.max(0, delayMicros), task);
        return () -> wheel.cancel(entry);
    }

    /** Runs a task when the tasks at hand are done: writes of one turn go out together. Loop thread only. */
    void atTurnEnd(Runnable task) {
        turnEnds.add(task);
    }

    /** Reports what a task threw elsewhere on this loop's behalf. */
    void failed(Throwable cause) {
        failure.accept(cause);
    }

    /** Stops after the task at hand; tasks and timers left are dropped. */
    @Override
    public void close() {
        stopped = true;
        LockSupport.unpark(thread);
    }

    /** Waits for the thread to end; for tests and the end of a process. */
    public void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    private void run() {
        while (!stopped) {
            guarded(() -> wheel.advance(now()));
            int done = 0;
            for (Runnable task = inbox.poll(); task != null && !stopped; task = inbox.poll()) {
                guarded(task);
                if (++done == BATCH) {
                    break;
                }
            }
            while (!turnEnds.isEmpty()) {
                guarded(turnEnds.poll());
            }
            if (inbox.isEmpty()) {
                park();
            }
        }
    }

    /**
     * Waits for a task or a timer. Under load the next task is microseconds away, and waking a parked thread costs
     * both sides more than that, so a loop that was busy looks around a little first.
     */
    private void park() {
        long until = System.nanoTime() + SPIN_NANOS;
        while (busy && inbox.isEmpty() && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        busy = !inbox.isEmpty();
        if (busy) {
            return;
        }
        parked.set(true);
        long wait = wheel.nextDue() == Long.MAX_VALUE ? Long.MAX_VALUE : (wheel.nextDue() - now()) * 1_000;
        if (inbox.isEmpty() && wait > 0 && !stopped) {
            LockSupport.parkNanos(this, wait);
        }
        parked.set(false);
        busy = !inbox.isEmpty();
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            failure.accept(e);
        }
    }
}
