package lemondock.exporter;

/**
 * A collector that reports go to. All on the reports' loop; a destination has no thread and knows
 * of no other.
 */
public interface Destination {
  /** Its name in the settings. */
  String name();

  /** A further snapshot is there. */
  void pump();

  /** Service fell or is back; told to collectors that take such notices. */
  default void notice(long stampMillis, boolean fell, String line) {}

  /** Sends what waits and closes in order; then, or if that cannot be done, calls back once. */
  void finish(Runnable done);

  /** Closes at once. */
  void stop();

  /** What has become of the reports so far. */
  Figures figures();

  /** Counts since the start, and how many snapshots wait now. */
  final class Figures {
    public long snapshots;
    public long dropped;
    public long resent;
    public long bytes;
    public long packets;
    public long lost;
    public long connects;
    public long failures;
    public long ignored;
    public long waiting;

    /**
     * Brings up to date what the cursor tells; what waits beyond the bound counts as dropped
     * already.
     */
    public Figures seen(SnapshotRing.Cursor cursor, int most, boolean inHand) {
      int beyond = Math.max(0, cursor.waiting() - most);
      dropped = cursor.dropped() + beyond;
      waiting = cursor.waiting() - beyond + (inHand ? 1 : 0);
      return this;
    }
  }
}
