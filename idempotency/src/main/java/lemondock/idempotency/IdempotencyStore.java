package lemondock.idempotency;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What became of calls that must not run twice, by the keys that their clients gave them. A call is
 * in the book before anything of it is sent anywhere, so one that is there without an end may have
 * run, whatever else was lost. It decides whether a call that comes under a known key may run; each
 * change is also a record, and the records read again make the same book. No I/O, no clock; one
 * thread.
 */
public final class IdempotencyStore {
  private static final byte TAKEN = 1;
  private static final byte RELAYED = 2;
  private static final byte ANSWERED = 3;
  private static final byte ENDED = 4;

  /** What only stands in the book is about so long for each call beside its texts. */
  private static final int MOST_RELAYED = 256;

  /** A longer age is a wall time in milliseconds, which records of earlier versions have. */
  private static final long LONGEST_AGE = 1_000_000_000_000L;

  private final Settings settings;
  private final long begun;
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /**
   * How much is kept.
   *
   * @param most calls
   * @param keep milliseconds for which an ended call is remembered; one without an end is, too,
   *     from its beginning
   */
  public record Settings(int most, long keep) {}

  /** What became of a call. */
  public enum Fate {
    /** Nothing is known of it: it may run. */
    UNKNOWN,
    /** It was refused, and nothing of it ran: it may run. */
    NEVER_RAN,
    /** It is under way at this gateway. */
    UNDER_WAY,
    /** It was answered whole. */
    SERVED,
    /** It ended, or this gateway did, and it may have run. */
    MAY_HAVE_RUN,
    /**
     * The book is full of calls that cannot be forgotten yet; nothing is known, and it may not run.
     */
    FULL;

    /** Whether a call of this fate may run. */
    public boolean mayRun() {
      return this == UNKNOWN || this == NEVER_RAN;
    }
  }

  /** A tool call that was relayed to the client, and whether its result came. */
  public record Relayed(String id, String tool, boolean answered) {}

  private static final class Entry {
    private final long takenAt;
    private final boolean here;
    private Fate fate;
    private final Map<String, Relayed> relayed = new LinkedHashMap<>();

    Entry(long takenAt, boolean here) {
      this.takenAt = takenAt;
      this.here = here;
      this.fate = here ? Fate.UNDER_WAY : Fate.MAY_HAVE_RUN;
    }
  }

  /** An empty book whose clock begins at 0. */
  public IdempotencyStore(Settings settings) {
    this(settings, 0);
  }

  /**
   * An empty book.
   *
   * @param now milliseconds of a clock that never goes back nor steps, and may begin anywhere in
   *     each life of the process. Time between two lives does not count: what is known from an
   *     earlier life is remembered longer, never shorter, than the settings say
   */
  public IdempotencyStore(Settings settings, long now) {
    this.settings = settings;
    this.begun = now;
  }

  /** What became of the call under that key; {@code now} is milliseconds of the book's clock. */
  public Fate fate(String key, long now) {
    Entry entry = entries.get(key);
    if (entry != null && forgotten(entry, now)) {
      entries.remove(key);
      entry = null;
    }
    if (entry != null) {
      return entry.fate;
    }
    return entries.size() < settings.most() || makeRoom(now) ? Fate.UNKNOWN : Fate.FULL;
  }

  private boolean forgotten(Entry entry, long now) {
    return now - entry.takenAt > settings.keep() && entry.fate != Fate.UNDER_WAY;
  }

  /**
   * Forgets what is old enough, or else the oldest that never ran: nothing is lost by forgetting
   * that.
   */
  private boolean makeRoom(long now) {
    entries.values().removeIf(e -> forgotten(e, now));
    if (entries.size() >= settings.most()) {
      for (Iterator<Entry> all = entries.values().iterator(); all.hasNext(); ) {
        if (all.next().fate == Fate.NEVER_RAN) {
          all.remove();
          return true;
        }
      }
    }
    return entries.size() < settings.most();
  }

  /** Tool calls relayed for the call under that key. */
  public List<Relayed> relayed(String key) {
    Entry entry = entries.get(key);
    return entry == null ? List.of() : List.copyOf(entry.relayed.values());
  }

  /** A tool call is to be relayed; its record must be durable before it is. */
  public byte[] relayed(String key, String id, String tool) {
    Entry entry = entries.get(key);
    if (entry != null && entry.relayed.size() < MOST_RELAYED) {
      entry.relayed.put(id, new Relayed(id, tool, false));
    }
    return record(RELAYED, key, id, tool);
  }

  /** Calls in the book. */
  public int size() {
    return entries.size();
  }

  // ==== changes; each gives its record

  /** A call that may run is taken; its record must be durable before anything of it is sent. */
  public byte[] taken(String key, long now) {
    if (!fate(key, now).mayRun()) {
      throw new IllegalStateException("the call " + key + " may not run");
    }
    entries.remove(key); // a new attempt is as young as its beginning
    entries.put(key, new Entry(now, true));
    return record(TAKEN, key, "0", "");
  }

  /** A relayed call's result has come. */
  public byte[] answered(String key, String id) {
    Entry entry = entries.get(key);
    if (entry != null) {
      entry.relayed.computeIfPresent(id, (i, r) -> new Relayed(i, r.tool(), true));
    }
    return record(ANSWERED, key, id, "");
  }

  /** The call has ended; {@code fate} is SERVED, NEVER_RAN or MAY_HAVE_RUN. */
  public byte[] ended(String key, Fate fate) {
    if (fate == Fate.UNDER_WAY || fate == Fate.UNKNOWN || fate == Fate.FULL) {
      throw new IllegalArgumentException("no end: " + fate);
    }
    Entry entry = entries.get(key);
    if (entry != null) {
      entry.fate = fate;
    }
    return record(ENDED, key, fate.name(), "");
  }

  // ==== records

  private static byte[] record(byte type, String key, String first, String second) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeByte(type);
      for (String text : new String[] {key, first, second}) {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(utf8.length);
        out.write(utf8);
      }
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String text(ByteBuffer from) {
    byte[] bytes = new byte[from.getInt()];
    from.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /**
   * Takes in a record of an earlier life; in their order they make the book as it was, but that
   * nothing is under way any more.
   *
   * @throws IllegalArgumentException if it is none: the log holds something else, or that of a
   *     later version
   */
  public void replay(ByteBuffer record) {
    try {
      byte type = record.get();
      String key = text(record);
      String first = text(record);
      String second = text(record);
      switch (type) {
        case TAKEN -> {
          entries.remove(key);
          long age = Long.parseLong(first);
          entries.put(key, new Entry(begun - (age < LONGEST_AGE ? age : 0), false));
        }
        case RELAYED -> relayed(key, first, second);
        case ANSWERED -> answered(key, first);
        case ENDED -> ended(key, Fate.valueOf(first));
        default -> throw new IllegalArgumentException("type " + type);
      }
    } catch (RuntimeException e) {
      throw new IllegalArgumentException("not a record of a call: " + e, e);
    }
  }

  /** All records that the book needs, for a log to begin anew with. */
  public List<byte[]> snapshot(long now) {
    List<byte[]> all = new ArrayList<>();
    entries.values().removeIf(e -> forgotten(e, now));
    entries.forEach(
        (key, entry) -> {
          all.add(record(TAKEN, key, Long.toString(now - entry.takenAt), ""));
          entry
              .relayed
              .values()
              .forEach(
                  r -> {
                    all.add(record(RELAYED, key, r.id(), r.tool()));
                    if (r.answered()) {
                      all.add(record(ANSWERED, key, r.id(), ""));
                    }
                  });
          if (!entry.here && entry.fate == Fate.MAY_HAVE_RUN || entry.fate == Fate.UNDER_WAY) {
            return; // a beginning without an end says just that
          }
          all.add(record(ENDED, key, entry.fate.name(), ""));
        });
    return all;
  }
}
