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
 * This process by the JDK's own management beans; safe for any thread. Memory is what the largest
 * pool of the heap, where objects grow old, held after its last collection: what is used between
 * collections says little (the documentation of {@link MemoryPoolMXBean} advises this figure for
 * shedding load). Before the first such collection memory was never short.
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

  /** Those that stop the program; ZGC's and Shenandoah's cycles run beside it. */
  private final List<GarbageCollectorMXBean> collectors =
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
    for (GarbageCollectorMXBean collector : collectors) {
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

  /** Empty where the system does not tell of file descriptors. */
  private static Optional<UnixOperatingSystemMXBean> unixSystem() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
            && unix.getMaxFileDescriptorCount() > 0
        ? Optional.of(unix)
        : Optional.empty();
  }
}
