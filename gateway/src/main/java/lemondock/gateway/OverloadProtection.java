package lemondock.gateway;

import java.util.List;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.DelayProbe;
import lemondock.overload.Admission;
import lemondock.overload.ResourcePressure;
import lemondock.overload.StallMonitor;

/**
 * Protects the gateway from overload: admits requests by the delay of the gateway's queues and by
 * the resources of its process, and detects stalls. Loop thread only.
 */
final class OverloadProtection {
  private final GatewayEnvironment environment;
  private final StallMonitor stallMonitor;
  private final Admission admission;
  private final QueueDelayMonitor queueDelays;
  private final ResourcePressureMonitor resourcePressure;
  private final GatewayMetrics metrics;

  OverloadProtection(
      GatewayEnvironment environment,
      GatewaySettings settings,
      DiskTasks disk,
      GatewayMetrics metrics) {
    GatewaySettings.Overload overload = settings.overload();
    this.environment = environment;
    this.metrics = metrics;
    this.stallMonitor =
        new StallMonitor(
            QueueDelayMonitor.STALL_TICK_MICROS,
            GatewaySettings.micros(overload.stallMs()),
            GatewaySettings.micros(overload.stallGraceMs()));
    this.admission =
        new Admission(
            overload.toAdmissionSettings(), QueueDelayMonitor.queueCount(settings.ioThreads()));
    this.queueDelays =
        new QueueDelayMonitor(environment, settings.ioThreads(), admission, stallMonitor, metrics);
    this.resourcePressure =
        new ResourcePressureMonitor(
            environment,
            disk,
            new ResourcePressure(overload.toResourcePressureSettings()),
            admission,
            settings.name());
  }

  StallMonitor stallMonitor() {
    return stallMonitor;
  }

  Admission admission() {
    return admission;
  }

  /** Starts measuring the delay of queues; {@code probes} are those of the I/O threads. */
  void start(List<DelayProbe> probes) {
    queueDelays.start(environment.workers(), probes);
  }

  void recordMetrics() {
    metrics.setOverload(
        admission.admittedShare(), stallMonitor.stallCount(), stallMonitor.totalStallMicros());
  }

  /** Takes one sample of the resources in use, off the loop. */
  void sampleResources() {
    resourcePressure.sample();
  }
}
