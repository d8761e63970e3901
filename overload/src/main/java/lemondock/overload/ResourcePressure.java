package lemondock.overload;

/**
 * Computes the share of the traffic that memory and file handles allow. New requests must not
 * exhaust a resource whose exhaustion ends the process: above a soft limit the share falls with the
 * remaining part of the resource, and at the hard limit nothing new is admitted, so that running
 * work can finish (Envoy's overload manager scales its actions in the same way). The share falls
 * immediately and rises slowly, because recently admitted requests have not used their part of the
 * resource yet. Reads no clock and does no I/O. Not thread-safe.
 */
public final class ResourcePressure {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Settings settings;
  private double admittedShare = 1;
  private long updatedAtMicros = Long.MIN_VALUE;
  private Resource scarcest = Resource.NONE;
  private long refreshedAtMicros = Long.MIN_VALUE / 2;

  /** A resource that can be exhausted. */
  public enum Resource {
    NONE,
    MEMORY,
    HANDLES
  }

  /**
   * Parameters of the resource limits.
   *
   * @param softLimit used fraction of a resource above which less is admitted
   * @param hardLimit used fraction from which nothing new is admitted
   * @param risePerSecond maximum growth of the share per second after a shortage
   */
  public record Settings(double softLimit, double hardLimit, double risePerSecond) {}

  /** Creates an instance that admits everything until the first {@link #update}. */
  public ResourcePressure(Settings settings) {
    this.settings = settings;
  }

  /**
   * Updates the share from the current use of the resources.
   *
   * @param nowMicros time of the measurement
   * @param memoryUsed used fraction of the memory, 0 to 1; 0 if unknown
   * @param handlesUsed used fraction of the file handles, 0 to 1; 0 if unknown
   */
  public void update(long nowMicros, double memoryUsed, double handlesUsed) {
    double used = Math.max(memoryUsed, handlesUsed);
    if (used <= settings.softLimit()) {
      scarcest = Resource.NONE;
    } else {
      scarcest = memoryUsed >= handlesUsed ? Resource.MEMORY : Resource.HANDLES;
    }
    double remaining =
        (settings.hardLimit() - used) / (settings.hardLimit() - settings.softLimit());
    double targetShare = Math.max(0, Math.min(1, remaining));
    admittedShare = Math.min(targetShare, maxShareAfterRise(nowMicros));
    updatedAtMicros = nowMicros;
  }

  private double maxShareAfterRise(long nowMicros) {
    if (updatedAtMicros == Long.MIN_VALUE) {
      return 1;
    }
    return admittedShare
        + settings.risePerSecond() * Math.max(0, nowMicros - updatedAtMicros) / MICROS_PER_SECOND;
  }

  /**
   * Whether the caller should refresh the measured memory use by a garbage collection: the
   * measurement is as old as the last collection, and while nothing is admitted there may not be
   * another one. Returns true at most once per {@code minIntervalMicros}.
   */
  public boolean tryStartMemoryRefresh(long nowMicros, long minIntervalMicros) {
    if (scarcest != Resource.MEMORY || nowMicros - refreshedAtMicros < minIntervalMicros) {
      return false;
    }
    refreshedAtMicros = nowMicros;
    return true;
  }

  /** The share of the traffic that may be admitted, 0 to 1. */
  public double admittedShare() {
    return admittedShare;
  }

  /** The scarcest resource if it is above its soft limit, otherwise {@link Resource#NONE}. */
  public Resource scarcest() {
    return scarcest;
  }
}
