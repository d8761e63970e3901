package lemondock.overload;

/**
 * How much may be let in by what the process has left of memory and file handles. What ends a
 * process when it is used up must not be used up by newcomers: from a soft part on the share falls
 * with what is left, and at the hard part nothing new is let in, so that what runs can end (Envoy's
 * overload manager scales its actions so). It falls at once and rises slowly, because what was just
 * let in has not taken its part yet. No clock, no I/O; one thread.
 */
public final class ResourcePressure {
  private final Settings settings;
  private double scale = 1;
  private long seenAt = Long.MIN_VALUE;
  private Resource shortest = Resource.NONE;
  private long refreshedAt = Long.MIN_VALUE / 2;

  /** What can run out. */
  public enum Resource {
    NONE,
    MEMORY,
    HANDLES
  }

  /**
   * How it decides.
   *
   * @param soft part of a resource in use from which on less is let in
   * @param hard part at which nothing new is
   * @param rise by how much the share grows a second, at the most, once there is more again
   */
  public record Settings(double soft, double hard, double rise) {}

  /** Makes one that has seen nothing and lets all in. */
  public ResourcePressure(Settings settings) {
    this.settings = settings;
  }

  /**
   * Hears what is in use, as parts of what there is; what cannot be told is given as 0.
   *
   * @param now microseconds
   */
  public void saw(long now, double memory, double handles) {
    shortest =
        Math.max(memory, handles) <= settings.soft()
            ? Resource.NONE
            : memory >= handles ? Resource.MEMORY : Resource.HANDLES;
    double left =
        (settings.hard() - Math.max(memory, handles)) / (settings.hard() - settings.soft());
    double wanted = Math.max(0, Math.min(1, left));
    double most =
        seenAt == Long.MIN_VALUE ? 1 : scale + settings.rise() * Math.max(0, now - seenAt) / 1e6;
    scale = Math.min(wanted, most);
    seenAt = now;
  }

  /**
   * Whether memory should be looked at anew: what is told of it is as old as the last collection,
   * and where nothing is let in there may not be another one. At most once in that time
   * (microseconds).
   */
  public boolean refreshes(long now, long every) {
    if (shortest != Resource.MEMORY || now - refreshedAt < every) {
      return false;
    }
    refreshedAt = now;
    return true;
  }

  /** The share of what comes that may be let in, 0 to 1. */
  public double scale() {
    return scale;
  }

  /** What is short now. */
  public Resource shortest() {
    return shortest;
  }
}
