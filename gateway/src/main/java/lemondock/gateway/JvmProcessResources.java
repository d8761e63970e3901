package lemondock.gateway;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Resources of this process from the JDK's management beans; safe for any thread. Memory in use is
 * what the largest heap pool, which holds long-lived objects, held after its last collection. The
 * usage between collections says little about memory pressure, and the documentation of {@link
 * MemoryPoolMXBean} advises the usage after a collection for shedding load. Until the first such
 * collection memory has never been scarce, so the used fraction is 0.
 */
public final class JvmProcessResources implements ProcessResources {
  private static final long MICROS_PER_MILLI = 1_000;

  private final Optional<MemoryPoolMXBean> tenuredPool =
      ManagementFactory.getMemoryPoolMXBeans().stream()
          .filter(
              pool ->
                  pool.getType() == MemoryType.HEAP
                      && pool.isCollectionUsageThresholdSupported()
                      && pool.getUsage().getMax() > 0)
          .max(Comparator.comparingLong(pool -> pool.getUsage().getMax()));

  /**
   * The collectors that stop the program; those of ZGC and Shenandoah whose names end in "Cycles"
   * are left out, because they run concurrently with it.
   */
  private final List<GarbageCollectorMXBean> pausingCollectors =
      ManagementFactory.getGarbageCollectorMXBeans().stream()
          .filter(collector -> !collector.getName().endsWith("Cycles"))
          .toList();

  @Override
  public double memoryUsedFraction() {
    MemoryUsage usage = tenuredPool.map(MemoryPoolMXBean::getCollectionUsage).orElse(null);
    return usage == null || usage.getMax() <= 0 ? 0 : (double) usage.getUsed() / usage.getMax();
  }

  @Override
  public void refreshMemory() {
    System.gc();
  }

  @Override
  public long pausedMicros() {
    long millis = 0;
    for (GarbageCollectorMXBean collector : pausingCollectors) {
      millis += Math.max(0, collector.getCollectionTime());
    }
    return millis * MICROS_PER_MILLI;
  }

  @Override
  public double fileHandlesUsedFraction() {
    return unixSystem()
        .map(unix -> (double) unix.getOpenFileDescriptorCount() / unix.getMaxFileDescriptorCount())
        .orElse(0.0);
  }

  @Override
  public long maxFileHandles() {
    return unixSystem()
        .map(UnixOperatingSystemMXBean::getMaxFileDescriptorCount)
        .orElse(Long.MAX_VALUE);
  }

  /** Empty if the operating system does not report file descriptors. */
  private static Optional<UnixOperatingSystemMXBean> unixSystem() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
            && unix.getMaxFileDescriptorCount() > 0
        ? Optional.of(unix)
        : Optional.empty();
  }
}
