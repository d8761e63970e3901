package lemondock.benchmark;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import lemondock.exporter.host.ExporterRuntime;
import lemondock.exporter.host.ProcessMeterRegistry;
import lemondock.gateway.Gateway;
import lemondock.gateway.GatewayEnvironment;
import lemondock.gateway.JvmProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.reporting.Reporting;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.nio.WorkerPool;
import lemondock.scenario.EmulatedProcess;

/**
 * A gateway that reports its memory on request through standard input. Argument: {@code
 * SETTINGS_FILE}.
 */
final class GatewayProgram implements ChildProgram {
  private static final int BYTES_PER_MEGABYTE = 1 << 20;

  @Override
  public void run(List<String> arguments) throws Exception {
    GatewaySettings settings = SettingsFile.readGateway(Path.of(arguments.get(0)));
    EmulatedProcess process = new EmulatedProcess("gateway", settings.ioThreads());
    Gateway gateway = createGateway(settings, process);
    gateway.start();
    if (settings.reporting().tickMs() > GatewaySettingsFile.NO_REPORTS_TICK_MILLIS) {
      startReporting(settings, gateway);
    }
    System.out.println("ready " + gateway.address().getPort());
    answerCommands(process, gateway);
  }

  private static Gateway createGateway(GatewaySettings settings, EmulatedProcess process) {
    GatewayEnvironment environment =
        new GatewayEnvironment(
            process.loop(),
            process.network(),
            Runnable::run,
            WorkerPool.create(
                settings.overload().heavyThreads(), settings.overload().heavyQueue(), "worker"),
            new JvmProcessResources(),
            null);
    return new Gateway(
        environment,
        settings,
        new PromptReader(settings.classes()),
        Gateway.DEFAULT_ROUTER_FACTORY);
  }

  private static void startReporting(GatewaySettings settings, Gateway gateway)
      throws IOException, SettingsException {
    Reporting reporting =
        new Reporting(
            settings,
            gateway.metrics(),
            new ExporterRuntime("reports").environment(),
            ProcessMeterRegistry.create());
    reporting.start(gateway.address());
  }

  /** Answers commands until standard input ends, as it does when the parent process ends. */
  private static void answerCommands(EmulatedProcess process, Gateway gateway) throws IOException {
    for (int command = System.in.read(); command >= 0; command = System.in.read()) {
      if (command == ChildProcess.ALLOCATED_COMMAND) {
        System.out.println(ChildProcess.ALLOCATED + " " + allocatedBytes());
      } else {
        printMemory(process, gateway);
      }
    }
  }

  private static void printMemory(EmulatedProcess process, Gateway gateway) {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    System.out.println(
        ChildProcess.HEAP
            + " "
            + (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEGABYTE
            + " sessions "
            + process.invokeAndWait(gateway::sessionCount)
            + " calls "
            + process.invokeAndWait(gateway::callsInFlight)
            + " allocated "
            + allocatedBytes());
  }

  private static long allocatedBytes() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getThreadAllocatedBytes(threads.getAllThreadIds()))
        .filter(bytes -> bytes > 0)
        .sum();
  }
}
