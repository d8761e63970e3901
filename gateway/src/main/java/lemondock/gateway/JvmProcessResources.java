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
 * This process by the JDK's own beans. Memory is what the largest pool of the heap, where objects
 * grow old, held after its last collection: what is used between collections says little (the
 * documentation of {@link MemoryPoolMXBean} advises this figure for turning load away). Before the
 * first such collection memory was never short.
 */
public final class JvmProcessResources implements ProcessResources {
  private final Optional<MemoryPoolMXBean> tenuredPool =
      ManagementFactory.getMemoryPoolMXBeans().stream()
          .filter(
              pool ->
                  pool.getType() == MemoryType.HEAP
                      && pool.isCollectionUsageThresholdSupported()
                      && pool.getUsage().getMax() > 0)
          .max(Comparator.comparingLong(pool -> pool.getUsage().getMax()));

  /**
   * But for those that tell how long they work beside the program, as ZGC's and Shenandoah's
   * cycles.
   */
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
    return millis * 1_000;
  }

  @Override
  public double fileHandlesUsedFraction() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
            && unix.getMaxFileDescriptorCount() > 0
        ? (double) unix.getOpenFileDescriptorCount() / unix.getMaxFileDescriptorCount()
        : 0;
  }

  @Override
  public long maxFileHandles() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
            && unix.getMaxFileDescriptorCount() > 0
        ? unix.getMaxFileDescriptorCount()
        : Long.MAX_VALUE;
  }
}
