package lemondock.exporter;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * The snapshots that some destination may still need, oldest dropped first past a bound of bytes or
 * of snapshots. Each is kept as its differences to the one before, since most values of a snapshot
 * stand still; the state before the oldest is kept whole. A destination reads with a {@link Cursor}
 * of its own, so one that stands still costs the others nothing, and all of them share one copy.
 * One thread.
 */
public final class SnapshotRing {
  private static final int MOST_VARINT = 10;

  private final long mostBytes;
  private final int most;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private long[] base = new long[0];
  private long[] head = new long[0];
  private List<Series> series = List.of();
  private long firstNumber;
  private long bytes;
  private byte[] scratch = new byte[1024];

  private record Entry(long stamp, int series, int slots, byte[] changes) {}

  /**
   * A snapshot as it is sent.
   *
   * @param number counts from 0; a gap means that some were dropped
   * @param stamp milliseconds since the epoch
   * @param values valid until the cursor moves
   */
  public record View(long number, long stamp, List<Series> series, long[] values) {}

  /**
   * Makes an empty ring of at most so many bytes and snapshots; the newest snapshot is kept
   * whatever its size.
   */
  public SnapshotRing(long mostBytes, int most) {
    this.mostBytes = mostBytes;
    this.most = most;
  }

  /** Adds the newest snapshot; its series must be those of the one before and possibly more. */
  public void append(long stamp, Snapshot snapshot) {
    long[] values = snapshot.values();
    head = Arrays.copyOf(head, values.length);
    int at = 0;
    int still = 0;
    for (int i = 0; i < values.length; i++) {
      if (values[i] == head[i]) {
        still++;
        continue;
      }
      if (scratch.length - at < 2 * MOST_VARINT) {
        scratch = Arrays.copyOf(scratch, 2 * scratch.length);
      }
      at = put(scratch, at, still);
      long change = values[i] - head[i]; // wraps as the values do
      at = put(scratch, at, change << 1 ^ change >> 63);
      still = 0;
    }
    System.arraycopy(values, 0, head, 0, values.length);
    series = snapshot.series();
    entries.add(new Entry(stamp, series.size(), values.length, Arrays.copyOf(scratch, at)));
    bytes += at;
    while (entries.size() > 1 && (entries.size() > most || bytes > mostBytes)) {
      Entry oldest = entries.poll();
      base = apply(base, oldest);
      bytes -= oldest.changes().length;
      firstNumber++;
    }
  }

  private static int put(byte[] to, int at, long value) {
    long rest = value;
    int next = at;
    while ((rest & ~0x7FL) != 0) {
      to[next++] = (byte) (rest | 0x80);
      rest >>>= 7;
    }
    to[next++] = (byte) rest;
    return next;
  }

  private static long[] apply(long[] state, Entry entry) {
    long[] values = state.length == entry.slots() ? state : Arrays.copyOf(state, entry.slots());
    byte[] from = entry.changes();
    int slot = 0;
    long part = 0;
    int shift = 0;
    boolean skip = true;
    for (byte b : from) {
      part |= (long) (b & 0x7F) << shift;
      shift += 7;
      if (b >= 0) {
        if (skip) {
          slot += (int) part;
        } else {
          values[slot++] += part >>> 1 ^ -(part & 1);
        }
        skip = !skip;
        part = 0;
        shift = 0;
      }
    }
    return values;
  }

  /** Bytes that the snapshots take, without the whole state before the oldest. */
  public long bytes() {
    return bytes;
  }

  /** Snapshots kept. */
  public int size() {
    return entries.size();
  }

  /** A cursor before the next snapshot to come. */
  public Cursor cursor() {
    return new Cursor();
  }

  /** One reader's place. */
  public final class Cursor {
    private long[] values = head.clone();
    private long next = firstNumber + entries.size();
    private long dropped;

    private Cursor() {}

    /** The next snapshot, null if there is none yet. */
    public View next() {
      if (waiting() == 0) {
        return null;
      }
      if (next < firstNumber) {
        dropped += firstNumber - next;
        next = firstNumber;
        values = base.clone();
      }
      Entry entry = nth(next - firstNumber);
      values = apply(values, entry);
      next++;
      return new View(next - 1, entry.stamp(), series.subList(0, entry.series()), values);
    }

    private Entry nth(long n) {
      if (n == entries.size() - 1) {
        return entries.peekLast();
      }
      return entries.stream().skip(n).findFirst().orElseThrow();
    }

    /** Snapshots not read yet that are still there. */
    public int waiting() {
      return (int) (firstNumber + entries.size() - Math.max(next, firstNumber));
    }

    /** Snapshots that were gone before they were read. */
    public long dropped() {
      return dropped + Math.max(0, firstNumber - next);
    }

    /** Drops the oldest unread ones past a bound of this reader's own. */
    public void keep(int mostWaiting) {
      while (waiting() > mostWaiting) {
        next();
        dropped++;
      }
    }

    /** Goes back by so many snapshots, or as far as they are kept; tells by how many. */
    public int back(int count) {
      long to = Math.max(firstNumber, next - count);
      if (to >= next) {
        return 0;
      }
      final int gone = (int) (next - to);
      long[] state = base.clone();
      int n = (int) (to - firstNumber);
      for (Entry entry : entries) {
        if (n-- == 0) {
          break;
        }
        state = apply(state, entry);
      }
      values = state;
      next = to;
      return gone;
    }
  }
}
