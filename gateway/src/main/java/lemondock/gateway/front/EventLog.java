package lemondock.gateway.front;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The last events of one stream, for a client whose connection breaks and who comes again with the last id it saw.
 * Bounded by bytes: the oldest go first, but for those that no connection has taken, which say when to stop producing.
 * No I/O.
 */
public final class EventLog {
    private final int most;
    private final ArrayDeque<Event> kept = new ArrayDeque<>();
    private long next = 1;
    private long sent;
    private int bytes;

    /** One event as it goes over the stream. */
    public record Event(long number, byte[] bytes) { }

    /** A log of so many bytes. */
    public EventLog(int most) {
        this.most = most;
    }

    /** The number that the next event will have. */
    public long nextNumber() {
        return next;
    }

    /** Keeps an event; its number is {@link #nextNumber} as it was before. */
    public Event append(byte[] encoded) {
        Event event = new Event(next++, encoded);
        kept.add(event);
        bytes += encoded.length;
        while (bytes > most && !kept.isEmpty() && kept.peek().number() <= sent) {
            bytes -= kept.poll().bytes().length;
        }
        return event;
    }

    /** Says that all events up to now were handed to a connection. */
    public void markSent() {
        sent = next - 1;
    }

    /** Whether events that no connection has taken fill the log: no more should be produced. */
    public boolean full() {
        return bytes > most && !kept.isEmpty() && kept.peek().number() > sent;
    }

    /** The events after a number; null if some of them are not kept any more or the number was never given. */
    public List<Event> after(long number) {
        long oldest = kept.isEmpty() ? next : kept.peek().number();
        if (number < oldest - 1 || number >= next) {
            return null;
        }
        List<Event> events = new ArrayList<>();
        for (Event event : kept) {
            if (event.number() > number) {
                events.add(event);
            }
        }
        return events;
    }

    /** Bytes kept. */
    public int bytes() {
        return bytes;
    }
}
