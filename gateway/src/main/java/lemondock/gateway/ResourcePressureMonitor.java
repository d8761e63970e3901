package lemondock.gateway;

import lemondock.net.Loop;
import lemondock.overload.Admission;
import lemondock.overload.ResourcePressure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads memory and file handles in use off the loop, and limits what {@link Admission} admits
 * accordingly. Loop thread only.
 */
final class ResourcePressureMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(ResourcePressureMonitor.class);
  private static final long MEMORY_REFRESH_INTERVAL_MICROS = 10_000_000;

  private final Loop loop;
  private final DiskTasks disk;
  private final ProcessResources resources;
  private final ResourcePressure pressure;
  private final Admission admission;
  private final String gatewayName;

  ResourcePressureMonitor(
      GatewayEnvironment environment,
      DiskTasks disk,
      ResourcePressure pressure,
      Admission admission,
      String gatewayName) {
    this.loop = environment.loop();
    this.disk = disk;
    this.resources = environment.resources();
    this.pressure = pressure;
    this.admission = admission;
    this.gatewayName = gatewayName;
  }

  /** Takes one sample off the loop and applies it on the loop. */
  void sample() {
    disk.runOrDrop(
        () -> { // off the loop, because counting handles reads a directory
          double memoryUsed = resources.memoryUsedFraction();
          double handlesUsed = resources.fileHandlesUsedFraction();
          loop.execute(() -> apply(memoryUsed, handlesUsed));
        });
  }

  private void apply(double memoryUsed, double handlesUsed) {
    final ResourcePressure.Resource scarcestBefore = pressure.scarcest();
    pressure.update(loop.now(), memoryUsed, handlesUsed);
    admission.limitByResources(loop.now(), pressure.admittedShare());
    if (pressure.tryStartMemoryRefresh(loop.now(), MEMORY_REFRESH_INTERVAL_MICROS)) {
      disk.runOrDrop(resources::refreshMemory);
    }
    if (pressure.scarcest() != scarcestBefore) {
      LOG.atWarn()
          .addKeyValue("gateway", gatewayName)
          .addKeyValue("short", pressure.scarcest())
          .addKeyValue("memory", memoryUsed)
          .addKeyValue("handles", handlesUsed)
          .log("the scarcest resource has changed");
    }
  }
}
