package lemondock.overload;

/**
 * Which share of the traffic memory and file handles allow. What ends a process when it is used up
 * must not be used up by new requests: from a soft limit on the share falls with what is left, and
 * at the hard limit nothing new is admitted, so that what runs can end (Envoy's overload manager
 * scales its actions so). It falls at once and rises slowly, because what was just admitted has not
 * taken its part yet. No clock, no I/O; one thread.
 */
public final class ResourcePressure {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Settings settings;
  private double admittedShare = 1;
  private long updatedAt = Long.MIN_VALUE;
  private Resource scarcest = Resource.NONE;
  private long refreshedAt = Long.MIN_VALUE / 2;

  /** What can run out. */
  public enum Resource {
    NONE,
    MEMORY,
    HANDLES
  }

  /**
   * Parameters.
   *
   * @param softLimit used part of a resource from which on less is admitted
   * @param hardLimit used part from which on nothing new is admitted
   * @param risePerSecond by how much the share grows at most once there is more again
   */
  public record Settings(double softLimit, double hardLimit, double risePerSecond) {}

  /** Makes one that has seen nothing and admits everything. */
  public ResourcePressure(Settings settings) {
    this.settings = settings;
  }

  /**
   * Takes what is in use, as parts (0 to 1) of what there is; 0 where that is not known.
   *
   * @param nowMicros time of the figures
   */
  public void update(long nowMicros, double memoryUsed, double handlesUsed) {
    double used = Math.max(memoryUsed, handlesUsed);
    if (used <= settings.softLimit()) {
      scarcest = Resource.NONE;
    } else {
      scarcest = memoryUsed >= handlesUsed ? Resource.MEMORY : Resource.HANDLES;
    }
    double left = (settings.hardLimit() - used) / (settings.hardLimit() - settings.softLimit());
    double wanted = Math.max(0, Math.min(1, left));
    admittedShare = Math.min(wanted, maxShareByRise(nowMicros));
    updatedAt = nowMicros;
  }

  private double maxShareByRise(long nowMicros) {
    if (updatedAt == Long.MIN_VALUE) {
      return 1;
    }
    return admittedShare
        + settings.risePerSecond() * Math.max(0, nowMicros - updatedAt) / MICROS_PER_SECOND;
  }

  /**
   * Whether the caller should refresh the figure of memory, by a garbage collection: the figure is
   * as old as the last collection, and where nothing is admitted there may not be another one. True
   * at most once in {@code minIntervalMicros}.
   */
  public boolean takeMemoryRefresh(long nowMicros, long minIntervalMicros) {
    if (scarcest != Resource.MEMORY || nowMicros - refreshedAt < minIntervalMicros) {
      return false;
    }
    refreshedAt = nowMicros;
    return true;
  }

  /** The share of the traffic that may be admitted, 0 to 1. */
  public double admittedShare() {
    return admittedShare;
  }

  /** The resource that is short now. */
  public Resource scarcest() {
    return scarcest;
  }
}
