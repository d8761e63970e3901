package lemondock.exporter.host;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.ClassLoaderMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.FileDescriptorMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

/** Gauges of this process, from the binders that Micrometer provides. */
public final class ProcessMeterRegistry {
  private ProcessMeterRegistry() {}

  /** Creates a registry with gauges of memory, threads, processors, classes and open files. */
  public static MeterRegistry create() {
    MeterRegistry registry = new SimpleMeterRegistry();
    new JvmMemoryMetrics().bindTo(registry);
    new JvmThreadMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    new FileDescriptorMetrics().bindTo(registry);
    new ClassLoaderMetrics().bindTo(registry);
    return registry;
  }
}
